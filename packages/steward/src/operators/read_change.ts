import type { IncomingMessage } from "node:http";
import { statementSchema } from "@lavenderferry/configuration";
import { KnownError } from "@lavenderferry/errors";
import type { Operation } from "./operator_event.ts";

const maxBodyBytes = 4_194_304;
const maxIssues = 20;

/** Reads the statement in the body and the version in `If-Match`. */
export async function readChange(request: IncomingMessage): Promise<Operation> {
  const match = /^"(\d+)"$/.exec(request.headers["if-match"] ?? "");
  if (match === null) {
    throw new KnownError("The header If-Match must be a version in quotes", {
      kind: "bad_request",
    });
  }
  const parsed = statementSchema.safeParse(await readJson(request));
  if (!parsed.success) {
    const lines = parsed.error.issues.map(({ path, message }) =>
      `${path.join(".")}: ${message}`
    );
    throw new KnownError(lines.slice(0, maxIssues).join("\n"), {
      kind: "bad_request",
    });
  }
  const ifVersion = Number(match[1]);
  return { kind: "apply", ifVersion, statement: parsed.data };
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    length += (chunk as Buffer).length;
    if (length > maxBodyBytes) {
      throw new KnownError("The body is too large", { kind: "body_too_large" });
    }
    chunks.push(chunk as Buffer);
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString());
  } catch (cause) {
    throw new KnownError("The body is not JSON", {
      kind: "bad_request",
      cause,
    });
  }
}
