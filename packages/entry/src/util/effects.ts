import type { ErrorKind, NotRun } from "@lavenderferry/errors";
import { errorKinds } from "@lavenderferry/errors";
import type { EntryEffect } from "../effects.ts";
import type { CounterName } from "../process/process_effect.ts";

/** Raises a counter by one, or by the amount. */
export function count(
  counter: CounterName,
  reason: string,
  amount = 1,
): EntryEffect {
  return { kind: "count", counter, reason, amount };
}

/** A refusal or failure of one request. */
export interface ReaderFailure {
  readonly readerId: string;
  readonly requestId: string;
  readonly error: ErrorKind;
  readonly notRun?: NotRun;
  readonly detail?: string;
  readonly retryAfterMs?: number;
  /** Entries that take the request in place of this one. */
  readonly addresses?: readonly string[];
}

/** Answers a request with an error and counts its kind. */
export function fail(failure: ReaderFailure): readonly EntryEffect[] {
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
