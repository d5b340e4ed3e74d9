import type { ServerResponse } from "node:http";
import type { Failure } from "@lavenderferry/errors";
import { problemMediaType, toProblem } from "@lavenderferry/errors";

/** The successful result of an operation. */
export interface Answer {
  readonly body: object;
  /** Version for the ETag header. */
  readonly version?: number | undefined;
}

/** The failure of an operation. */
export interface Refusal {
  readonly failure: Failure;
  /** Members added to the problem details. */
  readonly details?: object | undefined;
}

/** Sends a result as JSON with status 200. */
export function sendAnswer(
  response: ServerResponse,
  { body, version }: Answer,
): void {
  const text = JSON.stringify(body);
  response.writeHead(200, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...(version === undefined ? {} : { etag: `"${version}"` }),
  });
  response.end(text);
}

/** Sends a failure as problem details. */
export function sendRefusal(
  response: ServerResponse,
  { failure, details }: Refusal,
): void {
  const { kind, message: detail, notRun } = failure;
  const problem = toProblem({ kind, detail, notRun });
  const text = JSON.stringify({ ...details, ...problem });
  response.writeHead(problem.status, {
    "content-type": problemMediaType,
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}
