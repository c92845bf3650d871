/**
 * How often a larger model settles the doubt that a smaller one had of its
 * answer, learned by the confidence of both.
 */

/** Width of a bucket of confidences, points. */
const BUCKET_POINTS = 5;
/** Answers as which the first guess counts. */
const GUESS_WEIGHT = 5;
/** Answers that count at most, so that a changed model is learned anew. */
const MAX_WEIGHT = 100;

interface Share {
  good: number;
  all: number;
}

export class SettledDoubts {
  readonly #shares = new Map<string, Share>();

  /** `models` names those of the route; `doubt` is the smaller one's word. */
  record(key: string, model: string, doubt: number, isSettled: boolean): void {
    const share = this.#getShare(key, model, doubt);
    if (share.all >= MAX_WEIGHT) {
      share.good /= 2;
      share.all /= 2;
    }
    share.all++;
    if (isSettled) share.good++;
  }

  /** `guess` is the chance before anything was seen. */
  estimate(key: string, model: string, doubt: number, guess: number): number {
    const { good, all } = this.#getShare(key, model, doubt);
    return (good + GUESS_WEIGHT * guess) / (all + GUESS_WEIGHT);
  }

  #getShare(key: string, model: string, doubt: number): Share {
    const bucket = Math.floor(doubt / BUCKET_POINTS);
    const name = `${key} ${model} ${bucket}`;
    let share = this.#shares.get(name);
    if (share === undefined) {
      share = { good: 0, all: 0 };
      this.#shares.set(name, share);
    }
    return share;
  }
}
