import type { RelayEffect } from "../relay_effect.ts";
import type { RelayedRequest } from "../requests/relayed_request.ts";
import type { RelayState } from "../state.ts";
import { isDeparture } from "../upstreams/evacuations.ts";
import { count } from "../util/effects.ts";

/** Outcomes of moves, as labels of the counter `moves`. */
export const moveOutcomes = {
  /** The first copy was requested. */
  begun: "begun",
  /** The generation went on at another engine. */
  saved: "saved",
  /** It ended by itself at the engine that leaves. */
  ended: "ended",
  /** It had generated nothing and began anew at another engine. */
  restarted: "restarted",
  /** Its engine ended before a copy was requested. */
  lost_before_copy: "lost_before_copy",
  /** Its engine ended during a copy while it ran. */
  lost_copying: "lost_copying",
  /** It was stopped, and its last copy failed or was not answered. */
  lost_stopping: "lost_stopping",
} as const;

/** Outcomes of copies made ahead, as labels of the counter `copies`. */
export const copyOutcomes = {
  /** An engine was named that receives the memory as it grows. */
  made: "made",
  /** The generation went on from it. */
  used: "used",
  /** The engine that kept it left. */
  engine_left: "engine_left",
  /** It was missing or incomplete when it was needed. */
  missing: "missing",
} as const;

/** Counts the outcome of a move. */
export function countMove(outcome: keyof typeof moveOutcomes): RelayEffect {
  return count("moves", moveOutcomes[outcome]);
}

/** Counts the first move after a notice; the others are retries of it. */
export function countBegun(request: RelayedRequest): readonly RelayEffect[] {
  const { terminationNoticeAt, countedNoticeAt } = request;
  request.countedNoticeAt = terminationNoticeAt;
  return terminationNoticeAt === countedNoticeAt ? [] : [countMove("begun")];
}

/** Counts what became of a copy. */
export function countCopy(outcome: keyof typeof copyOutcomes): RelayEffect {
  return count("copies", copyOutcomes[outcome]);
}

/**
 * Counts a generation that is cut because its engine left; nothing for other
 * failures. Called before its attempt is ended, which discards the move.
 */
export function countIfLost(
  { closeReasons }: RelayState,
  { upstream, phase, move }: RelayedRequest,
): readonly RelayEffect[] {
  if (!isDeparture(closeReasons.get(upstream)) || phase !== "streaming") {
    return [];
  }
  switch (move?.phase) {
    case undefined:
      return [countMove("lost_before_copy")];
    case "copying":
      return [countMove("lost_copying")];
    case "stopping":
      return [countMove("lost_stopping")];
  }
}
