import type { ErrorKind } from "@lavenderferry/errors";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import { recordDecision } from "./record_decision.ts";

/** An open request that the end of a planned stop answers with an error. */
export interface StoppedRequest {
  readonly requestId: string;
  /** Phase of the generation or call. */
  readonly phase: string;
  readonly upstream: string;
  readonly error: ErrorKind;
}

/** Records a request that a planned stop ends; returns its log line. */
export function recordStopped(
  state: EntryState,
  { requestId, phase, upstream, error }: StoppedRequest,
  wall: number,
): EntryEffect {
  const reason = "process_stopped";
  const figures = { phase, upstream };
  recordDecision(
    state,
    { kind: "drop", subject: requestId, reason, figures },
    wall,
  );
  return {
    kind: "log",
    part: "process",
    sentence: "Ended an open request",
    fields: { request: requestId, reason, error, phase, upstream },
  };
}
