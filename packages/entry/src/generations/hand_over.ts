import type { Moment } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import { count } from "../util/effects.ts";
import { otherAddresses } from "../util/refuse_draining.ts";
import type { Generation } from "./generation.ts";
import { removeGeneration } from "./generation_start.ts";

/**
 * Ends the streams that have delivered tokens, and from now on each other one
 * at its first token; their readers can resume them at another entry.
 */
export function handOverStreams(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  state.handingOver = true;
  return [...state.generations.values()].flatMap((generation) =>
    handOverStream(state, generation, at)
  );
}

/** Ends a stream of an entry that hands over, if it has delivered tokens. */
export function handOverStream(
  state: EntryState,
  generation: Generation,
  at: Moment,
): readonly EntryEffect[] {
  const { readerId, attemptId, deliveredIndex, deliverAtEnd } = generation;
  if (!state.handingOver || deliverAtEnd || deliveredIndex === 0) {
    return [];
  }
  removeGeneration(state, generation);
  const addresses = otherAddresses(state, at);
  return [
    count("resumes", "handed_over"),
    { kind: "drop_attempt", attemptId },
    ...(readerId === null
      ? []
      : [{ kind: "move_reader", readerId, addresses } as const]),
  ];
}
