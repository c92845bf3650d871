/** Memory of a request's head that has not ended: Node's parser keeps it. */

import {
  BODY_REFUSAL,
  type BodyArrival,
  BYTES_PER_HEAD_BYTE,
  HeldMemory,
  RECEIVED_REFUSAL,
  type ReceivedRefusal,
  SENDER,
} from "../../adapters/received/index.js";

export class UnfinishedHead {
  readonly #memory = new HeldMemory();
  readonly #arrival: BodyArrival;
  readonly #refuse: () => void;
  #bytes = 0;

  /** `refuse` is called where there is no memory for the head. */
  constructor(refuse: () => void) {
    this.#refuse = refuse;
    this.#arrival = this.#memory.addArrival(() =>
      this.#giveUp(RECEIVED_REFUSAL.stopped),
    );
  }

  addBytes(bytes: number): void {
    this.#bytes += bytes;
    this.#arrival.addBytes(bytes);
    const heldBytes = BYTES_PER_HEAD_BYTE * bytes;
    if (this.#memory.reserve(SENDER.callerHead, heldBytes, this.#bytes)) return;
    this.#giveUp(BODY_REFUSAL.noMemory);
  }

  /** The head has ended, or its connection has. */
  end(): void {
    this.#arrival.end();
    this.#memory.release();
  }

  #giveUp(reason: ReceivedRefusal): void {
    this.#memory.report(SENDER.callerHead, reason);
    this.end();
    this.#refuse();
  }
}
