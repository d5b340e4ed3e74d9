import type { CopyOutcome } from "../relay_event.ts";

/** What is known of the stop of an attempt's run at its engine. */
export const stopStates = {
  /** It was not asked to stop the run, or has refused to. */
  none: "none",
  /** It was asked, and its answer is awaited. */
  requested: "requested",
  /** It was asked, and no answer shows whether it stops the run. */
  unconfirmed: "unconfirmed",
  /** It is asked again after a stop that is not confirmed. */
  repeated: "repeated",
  /** The run has ended, by a stop as far as is known. */
  stopped: "stopped",
  /** The run had ended before the engine was asked to stop it. */
  ended: "ended",
} as const;

/** State of the stop of a run; a key of `stopStates`. */
export type StopState = keyof typeof stopStates;

/** What shows whether an engine stops a run. */
type StopEvidence =
  | "requested"
  | "refused"
  | "unknown"
  | "stopped"
  | "not_running";

/**
 * A call without an answer may take effect at any later time, so that no refusal
 * of another call takes it back.
 */
const transitions: Readonly<
  Record<StopState, Readonly<Record<StopEvidence, StopState>>>
> = {
  none: {
    requested: "requested",
    refused: "none",
    unknown: "unconfirmed",
    stopped: "stopped",
    not_running: "ended",
  },
  requested: {
    requested: "requested",
    refused: "none",
    unknown: "unconfirmed",
    stopped: "stopped",
    not_running: "ended",
  },
  unconfirmed: {
    requested: "repeated",
    refused: "unconfirmed",
    unknown: "unconfirmed",
    stopped: "stopped",
    not_running: "stopped",
  },
  repeated: {
    requested: "repeated",
    refused: "unconfirmed",
    unknown: "unconfirmed",
    stopped: "stopped",
    not_running: "stopped",
  },
  stopped: {
    requested: "stopped",
    refused: "stopped",
    unknown: "stopped",
    stopped: "stopped",
    not_running: "stopped",
  },
  ended: {
    requested: "ended",
    refused: "ended",
    unknown: "ended",
    stopped: "stopped",
    not_running: "ended",
  },
};

const stoppableStates: ReadonlySet<StopState> = new Set([
  "requested",
  "unconfirmed",
  "repeated",
  "stopped",
]);

/** Returns the state after an engine was asked to stop a run. */
export function stopRequested(state: StopState): StopState {
  return transitions[state].requested;
}

/** Returns the state after the outcome of a call that asked for a stop. */
export function stopAnswered(
  state: StopState,
  outcome: CopyOutcome,
  { hasBegun }: {
    /** Whether events of the run have arrived. */
    readonly hasBegun: boolean;
  },
): StopState {
  return transitions[state][evidenceOf(outcome, hasBegun)];
}

/** Whether the end of a run may be the effect of a stop. */
export function mayBeStopped(state: StopState): boolean {
  return stoppableStates.has(state);
}

/** Whether a run is known to have ended, by itself or by a stop. */
export function hasRunEnded(state: StopState): boolean {
  return state === "stopped" || state === "ended";
}

function evidenceOf(outcome: CopyOutcome, hasBegun: boolean): StopEvidence {
  switch (outcome.kind) {
    case "copied":
      return "stopped";
    case "no_room":
      // An engine that has stopped a run names the handle of its memory.
      return outcome.handle === null ? "unknown" : "stopped";
    case "not_running":
      // A run that has not begun may still wait in the engine's queue.
      return hasBegun ? "not_running" : "refused";
    case "busy":
    case "unreachable":
      return "refused";
    case "unknown":
      return "unknown";
  }
}
