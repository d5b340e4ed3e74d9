import type { Moment } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import type { RelayState } from "../state.ts";
import { count, recordDecision } from "../util/effects.ts";

/** Records how reads of routings at peers ended since the last call. */
export function recordDocuments(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  const outcomes = state.fleet.documents?.takeOutcomes() ?? [];
  return outcomes.flatMap(({ reason, peer, ...figures }) => [
    count("documents", reason),
    recordDecision(state, {
      kind: "configure",
      subject: peer,
      reason: `document_${reason}`,
      figures,
    }, at),
  ]);
}
