import type { InstanceOptions } from "modern-errors";
import ModernError from "modern-errors";
import type { ErrorKind, NotRun } from "./error_kinds.ts";
import { errorKinds } from "./error_kinds.ts";

/** Details of a failure besides its message. */
export interface FailureDetails {
  readonly kind: ErrorKind;
  /** Overrides the default of the kind. */
  readonly notRun?: NotRun;
  /** Milliseconds to wait before a retry. */
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
}

/** Base class of the errors of the system. */
export const BaseError = ModernError.subclass("BaseError");

/** Error of one of the known kinds; the kind is `internal` by default. */
export const KnownError = BaseError.subclass("KnownError", {
  custom: class extends BaseError {
    readonly kind: ErrorKind;
    readonly notRun: NotRun;
    readonly retryAfterMs: number | undefined;

    constructor(
      message: string,
      details: InstanceOptions & Partial<FailureDetails> = {},
    ) {
      const { kind = "internal", cause } = details;
      super(message, cause === undefined ? {} : { cause });
      this.kind = kind;
      this.notRun = details.notRun ?? errorKinds[kind].notRun;
      this.retryAfterMs = details.retryAfterMs;
    }
  },
});

/** Instance of `KnownError`. */
export type Failure = InstanceType<typeof KnownError>;

/** Returns a failure as it is; wraps any other error with kind `internal`. */
export function toFailure(error: unknown): Failure {
  if (error instanceof KnownError) {
    return error;
  }
  return new KnownError("", { kind: "internal", cause: error });
}
