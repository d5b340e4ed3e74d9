import type { IncomingMessage } from "node:http";
import { KnownError } from "@lavenderferry/errors";

/** Reads a request body as UTF-8; throws if it exceeds `maxBytes`. */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    length += (chunk as Buffer).length;
    if (length > maxBytes) {
      throw new KnownError(`The body exceeds ${maxBytes} bytes`, {
        kind: "body_too_large",
      });
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
}
