import type { ErrorKind, NotRun } from "@lavenderferry/errors";
import type { Decision, Moment } from "@lavenderferry/runtime";
import type { CounterName, RelayEffect } from "../relay_effect.ts";
import type { RelayState } from "../state.ts";

/** Counts something under a reason of a closed list. */
export function count(counter: CounterName, reason: string): RelayEffect {
  return { kind: "count", counter, reason };
}

/** Keeps a decision for questions and writes it to the log. */
export function decide(
  state: RelayState,
  decision: Omit<Decision, "at">,
  at: Moment,
): RelayEffect {
  const made = { ...decision, at: at.wall };
  state.decisions.add(made);
  return { kind: "log_decision", decision: made };
}

/** What a caller is told in place of an answer. */
export interface FailureAnswer {
  readonly error: ErrorKind;
  readonly notRun: NotRun;
  readonly retryAfterMs?: number;
}

/** Answers a request with a failure. */
export function fail(
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
