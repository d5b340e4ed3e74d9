import type { ErrorKind, NotRun } from "@lavenderferry/errors";
import type { Decision, Moment } from "@lavenderferry/runtime";
import type { CounterName, RelayEffect } from "../relay_effect.ts";
import type { RelayState } from "../state.ts";

/**
 * Creates the effect that increments a counter. The reason becomes a metric
 * label, so its values must be bounded.
 */
export function count(counter: CounterName, reason: string): RelayEffect {
  return { kind: "count", counter, reason };
}

/**
 * Stores a decision for later `explain` requests and creates the effect that
 * logs it.
 */
export function recordDecision(
  state: RelayState,
  decision: Omit<Decision, "at">,
  at: Moment,
): RelayEffect {
  const kept = state.decisions.add({ ...decision, at: at.wall });
  return { kind: "log_decision", decision: kept };
}

/** A failure that the relay itself answers with. */
export interface FailureAnswer {
  readonly error: ErrorKind;
  /** Whether the request surely did not run. */
  readonly notRun: NotRun;
  /** Milliseconds after which the caller may retry. */
  readonly retryAfterMs?: number;
}

/** Counts a failure and creates the effect that sends it to the caller. */
export function sendFailure(
  exchangeId: string,
  { error, notRun, retryAfterMs }: FailureAnswer,
): readonly RelayEffect[] {
  return [
    count("refusals", error),
    {
      kind: "send_failure",
      exchangeId,
      error,
      notRun,
      retryAfterMs: retryAfterMs ?? null,
    },
  ];
}
