/** An entry's ledger and an endpoint with its copies, on a fake store. */

import {
  createReceipt,
  FakeStore,
  type StoreFault,
  VirtualClock,
} from "../runtime/fake_store_test.js";
import { EntryLedger } from "./entry_ledger.js";
import { HeldReceipts } from "./held_receipts.js";
import { ReceiptHolders } from "./receipt_holders.js";

export const NEVER_ABORTED = new AbortController().signal;

export function createLedgerCase(
  faults: StoreFault[] = [],
  maxReceipts?: number,
) {
  const clock = new VirtualClock();
  const store = FakeStore.createScripted(clock, faults);
  const network = {
    isLive: true,
    isReplaced: false,
    canHold: true,
    goneEndpoint: "",
    epoch: 1,
    askedEndpoints: [""],
  };
  const held = new HeldReceipts({
    store,
    clock,
    createId: () => "id",
    endpoint: "gpu-1",
    isProcessLive: () => network.isLive,
    isProcessReplaced: () => network.isReplaced,
    forwardReceipt: async () => false,
  });
  const holders = new ReceiptHolders({
    findProcess: (endpoint) =>
      endpoint === network.goneEndpoint
        ? undefined
        : `${endpoint} ${network.epoch}`,
    holdReceipt: async (endpoint, record) => {
      network.askedEndpoints.push(endpoint);
      await clock.sleep(5);
      if (!network.canHold) return false;
      const { requestId } = record.receipt;
      const receipt = JSON.stringify(record);
      return held.hold({ owner: record.owner, receipt, requestId });
    },
    releaseReceipts: async (_, release) => {
      held.release(release);
      return network.canHold;
    },
  });
  const ledger = new EntryLedger({
    store,
    clock,
    holders,
    entry: "entry1",
    incarnation: "a",
    listHolders: () => ["gpu-2", "gpu-3"],
    maxReceipts,
  });
  const add = (requestId: string, padding = 0) =>
    clock.runUntilSettled(
      ledger.add(
        createReceipt(requestId, padding),
        { holders: ["gpu-1"] },
        NEVER_ABORTED,
      ),
    );
  return { clock, store, held, ledger, network, add };
}
