/** Virtual time: runs scheduled functions in order of time. */

interface ScheduledCall {
  atMs: number;
  /** Order of scheduling, between calls at the same time. */
  sequence: number;
  run: () => void;
}

function isBefore(a: ScheduledCall, b: ScheduledCall): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}

export class Timeline {
  /** Binary heap with the earliest call first. */
  readonly #heap: ScheduledCall[] = [];
  #nextSequence = 0;
  nowMs = 0;

  schedule(atMs: number, run: () => void): void {
    const heap = this.#heap;
    const call = {
      atMs: Math.max(atMs, this.nowMs),
      sequence: this.#nextSequence++,
      run,
    };
    let index = heap.length;
    while (index > 0) {
      const parent = heap[(index - 1) >> 1];
      if (parent === undefined || !isBefore(call, parent)) break;
      heap[index] = parent;
      index = (index - 1) >> 1;
    }
    heap[index] = call;
  }

  run(): void {
    for (
      let next = this.#takeNext();
      next !== undefined;
      next = this.#takeNext()
    ) {
      this.nowMs = next.atMs;
      next.run();
    }
  }

  #takeNext(): ScheduledCall | undefined {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop();
    if (heap.length === 0 || last === undefined) return first;
    let index = 0;
    for (;;) {
      let childIndex = 2 * index + 1;
      const left = heap[childIndex];
      if (left === undefined) break;
      const right = heap[childIndex + 1];
      if (right !== undefined && isBefore(right, left)) childIndex++;
      const earlierChild = heap[childIndex];
      if (earlierChild === undefined || !isBefore(earlierChild, last)) break;
      heap[index] = earlierChild;
      index = childIndex;
    }
    heap[index] = last;
    return first;
  }
}
