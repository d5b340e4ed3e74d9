import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { text } from "node:stream/consumers";
import type { Polka } from "polka";

/** Serves a polka application; returns the server and its port. */
export async function listen(
  application: Polka,
  ip: string,
  port: number,
): Promise<{ readonly server: Server; readonly port: number }> {
  const server = createServer((request, response) => {
    void application.handler(request as never, response as never);
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ip, resolve);
  });
  return { server, port: (server.address() as AddressInfo).port };
}

/** Reads a JSON body, `{}` if empty; rejects if it is cut or malformed. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  return JSON.parse(await text(request) || "{}");
}

/** Reads a JSON body; resolves to `undefined` if it is cut or malformed. */
export async function tryReadJson(
  request: IncomingMessage,
): Promise<unknown> {
  try {
    return await readJson(request);
  } catch {
    return undefined;
  }
}

/** Sends a complete JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  const json = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(json),
  });
  response.end(json);
}
