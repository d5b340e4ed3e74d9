import type { ServerResponse } from "node:http";
import type { Problem } from "@lavenderferry/errors";
import { problemMediaType } from "@lavenderferry/errors";

/** Sends a problem details document with its status and `Retry-After`. */
export function sendProblem(response: ServerResponse, problem: Problem): void {
  const body = JSON.stringify(problem);
  const { retryAfterMs } = problem;
  response.writeHead(problem.status, {
    "content-type": problemMediaType,
    "content-length": Buffer.byteLength(body),
    ...(retryAfterMs === undefined
      ? {}
      : { "retry-after": String(Math.ceil(retryAfterMs / 1_000)) }),
  });
  response.end(body);
}
