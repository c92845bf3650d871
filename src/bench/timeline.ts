/** Virtual time: runs scheduled functions in order of time. */

interface Entry {
  atMs: number;
  order: number;
  run: () => void;
}

function isBefore(a: Entry, b: Entry): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

export class Timeline {
  readonly #heap: Entry[] = [];
  #order = 0;
  nowMs = 0;

  schedule(atMs: number, run: () => void): void {
    const heap = this.#heap;
    const entry = {
      atMs: Math.max(atMs, this.nowMs),
      order: this.#order++,
      run,
    };
    let position = heap.length;
    while (position > 0) {
      const parent = heap[(position - 1) >> 1];
      if (parent === undefined || !isBefore(entry, parent)) break;
      heap[position] = parent;
      position = (position - 1) >> 1;
    }
    heap[position] = entry;
  }

  run(): void {
    for (let next = this.#take(); next !== undefined; next = this.#take()) {
      this.nowMs = next.atMs;
      next.run();
    }
  }

  #take(): Entry | undefined {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop();
    if (heap.length === 0 || last === undefined) return first;
    let position = 0;
    for (;;) {
      let child = 2 * position + 1;
      const left = heap[child];
      if (left === undefined) break;
      const right = heap[child + 1];
      if (right !== undefined && isBefore(right, left)) child++;
      const least = heap[child];
      if (least === undefined || !isBefore(least, last)) break;
      heap[position] = least;
      position = child;
    }
    heap[position] = last;
    return first;
  }
}
