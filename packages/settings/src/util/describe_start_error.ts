import { describeError } from "../describe_error.ts";

const listenFailures: Readonly<Record<string, string>> = {
  EADDRINUSE: "the port is in use",
  EACCES: "the port may not be used",
  EADDRNOTAVAIL: "the IP number does not belong to this VM",
};

/** Matches what Node says of a socket; gRPC carries it in its own sentence. */
const listenPattern = /listen (E[A-Z]+): [a-z ]+ ([\d.:a-f]+)/;

/** Words an error that ended the start of a daemon. */
export function describeStartError(error: unknown): string {
  const text = describeError(error);
  const [, code = "", address = ""] = listenPattern.exec(text) ?? [];
  const reason = listenFailures[code];
  return reason === undefined ? text : `Cannot listen on ${address}: ${reason}`;
}
