import { isEarlyLoss } from "@lavenderferry/policy";
import type { Moment } from "@lavenderferry/runtime";
import { recordFinalEvents } from "../moves/departure_plan.ts";
import { countMove } from "../moves/rescue_counts.ts";
import { generatedTokens } from "../moves/reserve_memory.ts";
import { recordAnswered, suspectIdsOf } from "../quarantine/quarantine_part.ts";
import type { RelayEffect } from "../relay_effect.ts";
import type { AnswerHead } from "../relay_event.ts";
import type { RelayState } from "../state.ts";
import { isDeparture } from "../upstreams/evacuations.ts";
import { recordDecision } from "../util/effects.ts";
import { endRequest, releaseBacklogs } from "./place_request.ts";
import { recordAnswerTime } from "./record_answer_time.ts";
import type { RelayedRequest } from "./relayed_request.ts";

/** Ends a stream whose last event has been forwarded. */
export function completeStream(
  state: RelayState,
  request: RelayedRequest,
  { head, framed, at }: {
    readonly head: AnswerHead;
    /** Whether the answer has a length or uses chunked encoding. */
    readonly framed: boolean;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const { exchangeId, upstream, events, sends, firstEventMs } = request;
  // An engine that ends looks like the end of an unframed stream.
  const provesComplete = events > 0 &&
    (framed || !isEarlyLoss(request.firstEventAt, at));
  const ms = Math.round(at.monotonic - request.demand.arrivedAt);
  const pool = state.pools.get(request.service);
  if (pool !== undefined) {
    const tokens = generatedTokens(pool, request);
    const streamMs = ms - firstEventMs;
    recordAnswerTime(state, request, { firstEventMs, streamMs, tokens });
    recordFinalEvents(state, request);
  }
  const effects = endRequest(state, request, { outcome: "finished", at });
  return [
    recordDecision(state, {
      kind: "finish",
      subject: request.requestId,
      reason: "streamed",
      figures: {
        upstream,
        events,
        ms,
        sends,
        firstMs: Math.round(firstEventMs),
        longestPauseMs: Math.round(request.longestPauseMs),
      },
    }, at),
    ...isDeparture(state.closeReasons.get(upstream))
      ? [countMove("ended")]
      : [],
    ...effects,
    { kind: "finish_events", exchangeId, head },
    ...provesComplete ? recordAnswered(state, suspectIdsOf(request), at) : [],
    ...releaseBacklogs(state, at),
  ];
}
