import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import type { RequestEvent } from "../relay_event.ts";
import { hasRunEnded, stopAnswered } from "../requests/stop_state.ts";
import type { RelayState } from "../state.ts";
import { count, recordDecision } from "../util/effects.ts";
import type { AbandonedRun } from "./abandoned_run.ts";
import { abandonedRunKey, requestStop } from "./abandoned_run.ts";

type GenerationStopped = Extract<RequestEvent, { kind: "generation_stopped" }>;

/**
 * Delays in milliseconds before each further call that asks for a stop. The first
 * one leaves time for another within 400 ms of the close, for which a request may be
 * at two engines.
 */
const stopRetryDelaysMs = [100, 250, 600, 1_500];

/** Outcomes of stops of abandoned runs, as labels of the counter `stops`. */
const stopOutcomes = {
  /** The engine had gone on with the run after its connection was closed. */
  stopped: "stopped",
  /** The run had ended. */
  not_running: "not_running",
  /** No call showed whether the run has ended. */
  unconfirmed: "unconfirmed",
} as const;

/** Event handlers that stop runs that nobody reads any more. */
export const stopPart: EventHandlers<
  RelayState,
  GenerationStopped,
  RelayEffect
> = { generation_stopped: handleStopOutcome };

/** Asks for a stop again. Called when its retry timer fires. */
export function retryStop(
  state: RelayState,
  key: string,
): readonly RelayEffect[] {
  const run = state.abandonedRuns.get(key);
  return run === undefined ? [] : [requestStop(run)];
}

function handleStopOutcome(
  state: RelayState,
  { requestId, from, outcome, at }: Timed<GenerationStopped>,
): readonly RelayEffect[] {
  const key = abandonedRunKey(from, requestId);
  const run = state.abandonedRuns.get(key);
  if (run === undefined) {
    // The request has come back to this engine meanwhile.
    return [];
  }
  const stop = stopAnswered("requested", outcome, run);
  if (!hasRunEnded(stop)) {
    return retryLater(state, run, { outcome: outcome.kind, at });
  }
  state.abandonedRuns.delete(key);
  const { upstream, calls } = run;
  const isKnown = state.upstreams.has(upstream);
  if (stop === "ended") {
    if (isKnown) {
      state.closeEffects.recordEnded(upstream);
    }
    return [count("stops", stopOutcomes.not_running)];
  }
  if (isKnown) {
    state.closeEffects.recordOngoing(upstream);
  }
  const reason = "stopped_after_close";
  const figures = { upstream, calls };
  return [
    recordDecision(
      state,
      { kind: "cancel", subject: requestId, reason, figures },
      at,
    ),
    count("stops", stopOutcomes.stopped),
  ];
}

/** Asks for a stop again later, or gives up after the last call. */
function retryLater(
  state: RelayState,
  run: AbandonedRun,
  { outcome, at }: { readonly outcome: string; readonly at: Moment },
): readonly RelayEffect[] {
  const { requestId, upstream, from, calls, deadline } = run;
  const key = abandonedRunKey(from, requestId);
  const dueAt = at.monotonic + (stopRetryDelaysMs[calls - 1] ?? Infinity);
  if (dueAt < deadline && state.upstreams.has(upstream)) {
    state.abandonedRuns.set(key, { ...run, calls: calls + 1 });
    const timer = { kind: "retry_stop", key } as const;
    return [{ kind: "set_timer", timer, at: dueAt }];
  }
  state.abandonedRuns.delete(key);
  const reason = "stop_unconfirmed";
  const figures = { upstream, calls, outcome };
  return [
    recordDecision(
      state,
      { kind: "drop", subject: requestId, reason, figures },
      at,
    ),
    count("stops", stopOutcomes.unconfirmed),
  ];
}
