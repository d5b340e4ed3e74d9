import { describeError } from "../describe_error.ts";

const listenFailures: Readonly<Record<string, string>> = {
  EADDRINUSE: "the port is in use",
  EACCES: "the port may not be used",
  EADDRNOTAVAIL: "the IP number does not belong to this VM",
};

interface ListenError extends Error {
  readonly code: string;
  readonly address: string;
  readonly port: number;
}

/** Words an error that ended the start of a daemon. */
export function describeStartError(error: unknown): string {
  if (isListenError(error)) {
    const reason = listenFailures[error.code] ?? error.code;
    return `Cannot listen on ${error.address}:${error.port}: ${reason}`;
  }
  return describeError(error);
}

function isListenError(error: unknown): error is ListenError {
  return error instanceof Error && "code" in error && "address" in error &&
    "port" in error;
}
