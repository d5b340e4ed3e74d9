import type { ErrorKind, NotRun } from "./error_kinds.ts";
import { errorKinds } from "./error_kinds.ts";

/** Media type of a problem details document (RFC 9457). */
export const problemMediaType = "application/problem+json";

/** A problem details document (RFC 9457) with the system's own members. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly kind: ErrorKind;
  readonly notRun: NotRun;
  readonly requestId?: string;
  readonly retryAfterMs?: number;
  /** Addresses of other processes to which the request can be sent instead. */
  readonly addresses?: readonly string[];
}

/** Details of one occurrence of an error. */
export interface Occurrence {
  readonly kind: ErrorKind;
  readonly detail: string;
  readonly notRun?: NotRun;
  readonly requestId?: string;
  readonly retryAfterMs?: number;
  readonly addresses?: readonly string[];
}

/** Creates the problem details document of one occurrence. */
export function toProblem(occurrence: Occurrence): Problem {
  const answer = errorKinds[occurrence.kind];
  return {
    type: `urn:lavenderferry:error:${occurrence.kind}`,
    title: answer.title,
    status: answer.status,
    detail: occurrence.detail,
    kind: occurrence.kind,
    notRun: occurrence.notRun ?? answer.notRun,
    ...(occurrence.requestId === undefined
      ? {}
      : { requestId: occurrence.requestId }),
    ...(occurrence.retryAfterMs === undefined
      ? {}
      : { retryAfterMs: occurrence.retryAfterMs }),
    ...(occurrence.addresses === undefined
      ? {}
      : { addresses: occurrence.addresses }),
  };
}
