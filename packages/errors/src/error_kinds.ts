/**
 * Whether a refused or failed request has not run at its upstream: `true` means
 * that it certainly has not, `false` that it has, at least in part.
 */
export type NotRun = true | false | "unknown";

/** The answer to a caller for one kind of error. */
export interface Answer {
  /** HTTP status code. */
  readonly status: number;
  /** Short title of the problem details document. */
  readonly title: string;
  /** Default of the answer's `notRun`, which a failure may override. */
  readonly notRun: NotRun;
  /** Whether a retry of the same request may succeed. */
  readonly retryable: boolean;
}

/** Every kind of error, with its answer. */
export const errorKinds = {
  bad_request: answer(400, "The request is malformed", {
    notRun: true,
    retryable: false,
  }),
  unauthenticated: answer(401, "The caller key is not valid", {
    notRun: true,
    retryable: false,
  }),
  forbidden: answer(403, "The workspace may not do this", {
    notRun: true,
    retryable: false,
  }),
  not_found: answer(404, "The resource does not exist", {
    notRun: true,
    retryable: false,
  }),
  unknown_class: answer(404, "The class does not exist", {
    notRun: true,
    retryable: false,
  }),
  unknown_model: answer(404, "No pool serves the model", {
    notRun: true,
    retryable: false,
  }),
  unknown_service: answer(404, "The service does not exist", {
    notRun: true,
    retryable: false,
  }),
  key_missing: answer(400, "An idempotency key is required", {
    notRun: true,
    retryable: false,
  }),
  key_reused: answer(422, "The key belongs to another request", {
    notRun: true,
    retryable: false,
  }),
  key_in_progress: answer(409, "The key's call is in progress", {
    notRun: "unknown",
    retryable: true,
  }),
  key_unresolved: answer(409, "The key's result is unknown", {
    notRun: "unknown",
    retryable: false,
  }),
  conflict: answer(409, "The version has changed", {
    notRun: true,
    retryable: true,
  }),
  body_too_large: answer(413, "The request body is too large", {
    notRun: true,
    retryable: false,
  }),
  header_too_large: answer(431, "The header is too large", {
    notRun: true,
    retryable: false,
  }),
  prompt_too_long: answer(413, "The prompt exceeds the engine", {
    notRun: true,
    retryable: false,
  }),
  overloaded: answer(429, "The class is over capacity", {
    notRun: true,
    retryable: true,
  }),
  request_quarantined: answer(
    503,
    "Equal or similar requests ended several upstreams",
    {
      notRun: true,
      retryable: false,
    },
  ),
  workspace_limit: answer(429, "The workspace is at its share", {
    notRun: true,
    retryable: true,
  }),
  deadline_exceeded: answer(504, "The deadline has passed", {
    notRun: true,
    retryable: true,
  }),
  no_upstream: answer(503, "No upstream is available", {
    notRun: true,
    retryable: true,
  }),
  circuit_open: answer(503, "The upstream's circuit is open", {
    notRun: true,
    retryable: true,
  }),
  draining: answer(503, "This process is draining", {
    notRun: true,
    retryable: true,
  }),
  not_ready: answer(503, "This process is not ready", {
    notRun: true,
    retryable: true,
  }),
  store_unavailable: answer(503, "The store is unavailable", {
    notRun: true,
    retryable: true,
  }),
  upstream_refused: answer(503, "The upstream refused the call", {
    notRun: true,
    retryable: true,
  }),
  upstream_lost: answer(502, "The upstream was lost", {
    notRun: "unknown",
    retryable: false,
  }),
  upstream_timeout: answer(504, "The upstream timed out", {
    notRun: "unknown",
    retryable: false,
  }),
  upstream_invalid: answer(502, "The upstream's answer is invalid", {
    notRun: "unknown",
    retryable: false,
  }),
  generation_lost: answer(502, "The generation was lost", {
    notRun: false,
    retryable: true,
  }),
  stream_gone: answer(410, "The stream is no longer held", {
    notRun: false,
    retryable: false,
  }),
  reader_too_slow: answer(503, "The reader is too slow", {
    notRun: false,
    retryable: true,
  }),
  cancelled: answer(499, "The caller has left", {
    notRun: "unknown",
    retryable: false,
  }),
  lease_lost: answer(503, "The lease is held by another process", {
    notRun: true,
    retryable: true,
  }),
  stranger: answer(403, "The peer is not a member", {
    notRun: true,
    retryable: false,
  }),
  internal: answer(500, "An internal error occurred", {
    notRun: "unknown",
    retryable: false,
  }),
} as const satisfies Record<string, Answer>;

/** A key of `errorKinds`. */
export type ErrorKind = keyof typeof errorKinds;

/** The kinds of errors in a fixed order, for counters and documentation. */
export const errorKindNames = Object.keys(errorKinds) as readonly ErrorKind[];

function answer(
  status: number,
  title: string,
  options: Pick<Answer, "notRun" | "retryable">,
): Answer {
  return { status, title, ...options };
}
