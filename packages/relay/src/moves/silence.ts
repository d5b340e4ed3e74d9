import type { Moment } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import type { EngineReport } from "../relay_event.ts";
import type { Move, RelayedRequest } from "../requests/relayed_request.ts";
import type { RelayState } from "../state.ts";
import { recordDecision } from "../util/effects.ts";
import { requestCopy } from "./request_copy.ts";

/**
 * Milliseconds without an event after which the connection of a stream may have
 * gone silent, so that it does not carry its own close either. Events come every
 * few ten milliseconds; a sound engine rarely pauses for so long.
 */
const silenceMs = 600;

/**
 * Whether the connection of a stream may have gone silent. That of an attempt
 * without an event counts from its start.
 */
export function isSilent(
  { phase, lastProgressAt, sentAt }: RelayedRequest,
  at: Moment,
): boolean {
  return phase === "streaming" &&
    at.monotonic - Math.max(lastProgressAt, sentAt) >= silenceMs;
}

/**
 * Events by which an engine must be ahead of what has arrived. A few are always
 * under way.
 */
const minEventsAhead = 3;

/**
 * Whether an engine may go on with a generation of which no events arrive. One
 * that only rests ends with its connection.
 */
export function mayRunOn(
  { requestId, events }: RelayedRequest,
  { runs, detail }: EngineReport,
): boolean {
  const run = runs.find((run) => run.requestId === requestId);
  return detail !== "" ||
    (run !== undefined && run.events >= events + minEventsAhead);
}

/**
 * Asks the engine of a generation to stop it, over a new connection, before the
 * generation goes on from its copy: the close of a silent connection does not
 * reach the engine, which would work on.
 */
export function stopBeforeResumption(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): readonly RelayEffect[] {
  const { copyUpstream, upstream, events, requestId } = request;
  const move: Move = {
    to: copyUpstream ?? "",
    phase: "stopping",
    copyRequestedAt: at.monotonic,
    // The copy that is kept already is the first one.
    copyCount: 2,
    excludedEngines: [],
    hasCopy: true,
  };
  request.move = move;
  const silentMs = Math.round(at.monotonic - request.lastProgressAt);
  const figures = { from: upstream, upstream: move.to, events, silentMs };
  return [
    recordDecision(state, {
      kind: "choose",
      subject: requestId,
      reason: "stop_silent",
      figures,
    }, at),
    requestCopy(state, request, move),
  ];
}
