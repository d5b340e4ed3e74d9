import { describeError } from "../describe_error.ts";

const listenFailures: Readonly<Record<string, string>> = {
  EADDRINUSE: "the port is in use",
  EACCES: "the port may not be used",
  EADDRNOTAVAIL: "the IP number does not belong to this VM",
};

/** Matches Node's error message of `listen`, which gRPC embeds in its own. */
const listenPattern = /listen (E[A-Z]+): [a-z ]+ ([\d.:a-f]+)/;

/** Returns the message of an error at start; explains `listen` errors. */
export function describeStartError(error: unknown): string {
  const text = describeError(error);
  const [, code = "", address = ""] = listenPattern.exec(text) ?? [];
  const reason = listenFailures[code];
  return reason === undefined ? text : `Cannot listen on ${address}: ${reason}`;
}
