import type { BegunPrompt } from "@lavenderferry/policy";
import { isEarlyLoss } from "@lavenderferry/policy";
import type { Moment } from "@lavenderferry/runtime";
import type { Call } from "../calls/call.ts";
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
  const { stream, suspectIds: blocks, sentAt, firstTokenAt } = generation;
  const { attemptId } = generation;
  const { upstream } = stream;
  generation.lostBeforeToken = firstTokenAt === null;
  state.earlyLosses.recordConnection(upstream, at, { sentAt });
  if (blocks.length > 0 && isEarlyLoss(firstTokenAt, at)) {
    recordEarlyLoss(state, upstream, { prompt: { attemptId, blocks }, at });
  }
}

/** Records that the connection of a call was lost; its service is checked. */
export function recordCallLoss(
  state: EntryState,
  upstream: string,
  { call: { callId, suspectId, sentAt }, at }: {
    readonly call: Call;
    readonly at: Moment;
  },
): void {
  const prompt = { attemptId: callId, blocks: [suspectId] };
  state.earlyLosses.recordConnection(upstream, at, { sentAt });
  recordEarlyLoss(state, upstream, { prompt, at });
}

function recordEarlyLoss(
  { earlyLosses, fleet, vms }: EntryState,
  upstream: string,
  { prompt, at }: { readonly prompt: BegunPrompt; readonly at: Moment },
): void {
  const vm = vms.get(upstream);
  const isLeaving = vm?.state !== "live" ||
    fleet.marks.get(upstream) !== undefined;
  if (!isLeaving) {
    const { address } = vm;
    earlyLosses.record(upstream, { address, ...prompt }, at);
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
