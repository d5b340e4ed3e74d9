import type { Failure } from "@lavenderferry/errors";
import { KnownError } from "@lavenderferry/errors";
import type { ServiceError } from "@grpc/grpc-js";
import { status } from "@grpc/grpc-js";

/**
 * Converts a gRPC error: a refused sender and an untrusted certificate have the
 * kind `stranger`, any other error has the kind `upstream_lost`.
 */
export function toPeerFailure(error: ServiceError | null): Failure {
  const message = error?.details ?? "The peer sent no reply";
  const unauthenticated = error?.code === status.PERMISSION_DENIED ||
    /certificate|altnames/i.test(message);
  return unauthenticated
    ? new KnownError(message, { kind: "stranger" })
    : new KnownError(message, { kind: "upstream_lost", notRun: "unknown" });
}
