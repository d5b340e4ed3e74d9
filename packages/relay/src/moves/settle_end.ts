import type { Moment } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import type { AnswerHead } from "../relay_event.ts";
import { completeStream } from "../requests/complete_stream.ts";
import {
  endAttempt,
  failRequest,
  releaseBacklogs,
} from "../requests/place_request.ts";
import type { RelayedRequest } from "../requests/relayed_request.ts";
import { mayBeStopped } from "../requests/stop_state.ts";
import type { RelayState } from "../state.ts";
import { recordDecision } from "../util/effects.ts";
import { countIfLost } from "./rescue_counts.ts";
import { resumeFromCopy } from "./resume_generation.ts";

/**
 * Handles the end of a stream whose run may have been stopped. It is kept while
 * the engine's answer to the stop is awaited, which shows what ended the run.
 */
export function endStoppable(
  state: RelayState,
  request: RelayedRequest,
  { head, at }: {
    /** Head of a stream without framing; `null`: it was broken off. */
    readonly head: AnswerHead | null;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  request.streamEnd = { head };
  if (request.move?.phase === "stopping") {
    return [];
  }
  const { upstream, events, stop } = request;
  return settleEnd(state, request, { figures: { upstream, events, stop }, at });
}

/**
 * Whether the stream of a request has ended and its run was not stopped, so that
 * the end is that of the whole answer.
 */
export function hasEndedWhole({ streamEnd, stop }: RelayedRequest): boolean {
  return (streamEnd?.head ?? null) !== null && !mayBeStopped(stop);
}

/**
 * Ends a request whose run has ended: as complete if nothing but the run itself
 * can have ended it, otherwise by a resumption from its copy or by a failure.
 */
export function settleEnd(
  state: RelayState,
  request: RelayedRequest,
  { figures, at }: {
    /** Figures of the decision if the generation is lost. */
    readonly figures: Readonly<Record<string, string | number>>;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const head = request.streamEnd?.head ?? null;
  if (head !== null && hasEndedWhole(request)) {
    return completeStream(state, request, { head, framed: false, at });
  }
  const reason = "copy_failed";
  const resumptionEffects = resumeFromCopy(state, request, { reason, at });
  if (resumptionEffects !== null) {
    return resumptionEffects;
  }
  const { requestId: subject } = request;
  const lostEffects = countIfLost(state, request);
  const endEffects = endAttempt(state, request, { outcome: "failed", at });
  state.requests.delete(request.exchangeId);
  return [
    ...lostEffects,
    recordDecision(state, { kind: "drop", subject, reason, figures }, at),
    ...endEffects,
    ...failRequest(request, { error: "generation_lost", notRun: false }),
    ...releaseBacklogs(state, at),
  ];
}
