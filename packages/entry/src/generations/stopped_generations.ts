import type { NotRun } from "@lavenderferry/errors";
import type { Moment } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import { recordStopped } from "../util/record_stopped.ts";
import { refuseDraining } from "../util/refuse_draining.ts";
import type { Generation } from "./generation.ts";
import { cancelAtEngine } from "./generation_recovery.ts";
import { failGeneration, removeGeneration } from "./generation_start.ts";

/** Answers and removes the generations that a planned stop cannot finish. */
export function endOpenGenerations(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  return [...state.generations.values()].flatMap((generation) =>
    endOpenGeneration(state, generation, at)
  );
}

function endOpenGeneration(
  state: EntryState,
  generation: Generation,
  at: Moment,
): readonly EntryEffect[] {
  const { stream, phase, attemptId, readerId } = generation;
  const { requestId, upstream } = stream;
  const notRun = notRunOf(generation);
  const error = notRun === true ? "draining" : "generation_lost";
  removeGeneration(state, generation);
  const log = recordStopped(
    state,
    { requestId, phase, upstream, error },
    at.wall,
  );
  if (notRun === true) {
    const refusal = readerId === null
      ? []
      : refuseDraining(state, { readerId, requestId }, at);
    return [log, ...refusal];
  }
  const detail = "The process stopped before the generation ended";
  return [
    log,
    ...failGeneration(generation, { error, notRun, detail }),
    ...(phase === "waiting" ? [] : [
      { kind: "drop_attempt", attemptId } as const,
      ...cancelAtEngine(state, generation),
    ]),
  ];
}

function notRunOf(generation: Generation): NotRun {
  const { phase, restarts, nextIndex, attemptAccepted } = generation;
  if (restarts > 0) {
    return false;
  }
  if (phase === "waiting") {
    return true;
  }
  return nextIndex > 0 || attemptAccepted ? false : "unknown";
}
