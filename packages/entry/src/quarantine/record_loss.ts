import { isEarlyLoss } from "@lavenderferry/policy";
import type { Moment } from "@lavenderferry/runtime";
import type { Generation } from "../generations/generation.ts";
import type { EntryState } from "../state.ts";

/**
 * Engines that may be lost before the first token of one generation. It is not
 * started at another one after that, because its prompt may be what ends them.
 */
const maxLosses = 2;

/**
 * Records that the connection of a generation was lost. If its engine had just
 * begun it, the engine is checked soon.
 */
export function recordLoss(
  state: EntryState,
  generation: Generation,
  at: Moment,
): void {
  const { stream, sharedBlocks: blocks, sentAt, firstTokenAt } = generation;
  const { attemptId } = generation;
  const { upstream } = stream;
  const { earlyLosses, fleet, vms } = state;
  earlyLosses.recordConnection(upstream, at, { sentAt });
  generation.lostBeforeToken = firstTokenAt === null;
  const vm = vms.get(upstream);
  const isLeaving = vm?.state !== "live" ||
    fleet.marks.get(upstream) !== undefined;
  if (blocks.length > 0 && isEarlyLoss(firstTokenAt, at) && !isLeaving) {
    const { address } = vm;
    earlyLosses.record(upstream, { address, attemptId, blocks }, at);
  }
}

/**
 * Counts the loss of an engine before the first token of a generation. Returns
 * whether the generation may be started at another engine.
 */
export function mayStartAgain(generation: Generation): boolean {
  if (generation.lostBeforeToken) {
    generation.lostBeforeToken = false;
    generation.lossesBeforeToken += 1;
  }
  return generation.lossesBeforeToken < maxLosses;
}
