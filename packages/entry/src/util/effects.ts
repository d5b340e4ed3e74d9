import type { ErrorKind, NotRun } from "@lavenderferry/errors";
import { errorKinds } from "@lavenderferry/errors";
import type { EntryEffect } from "../effects.ts";
import type { CounterName } from "../process/process_effect.ts";

/** Returns the effect that increments a counter, by one unless stated. */
export function count(
  counter: CounterName,
  reason: string,
  amount = 1,
): EntryEffect {
  return { kind: "count", counter, reason, amount };
}

/** The error that answers one request. */
export interface RequestFailure {
  readonly readerId: string;
  readonly requestId: string;
  readonly error: ErrorKind;
  readonly notRun?: NotRun;
  readonly detail?: string;
  readonly retryAfterMs?: number;
  /** Addresses of entries that accept the request instead of this one. */
  readonly addresses?: readonly string[];
}

/** Returns the effects that answer a request with an error and count it. */
export function failRequest(failure: RequestFailure): readonly EntryEffect[] {
  const { readerId, requestId, error, detail, notRun, retryAfterMs } = failure;
  const { addresses } = failure;
  const occurrence = {
    kind: error,
    detail: detail ?? errorKinds[error].title,
    requestId,
    ...(notRun === undefined ? {} : { notRun }),
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    ...(addresses === undefined ? {} : { addresses }),
  };
  return [
    count("refusals", error),
    { kind: "fail_reader", readerId, occurrence },
  ];
}
