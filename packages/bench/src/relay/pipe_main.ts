import { createServer } from "node:http";
import { pipeline } from "node:stream/promises";
import { announce } from "@lavenderferry/runtime";
import polka from "polka";
import { Agent } from "undici";

/**
 * Baseline for the cost of the relay: polka and undici forward the bodies of
 * requests and responses without parsing them.
 */
const upstreamAddress = process.argv[2] ?? "";
const agent = new Agent({ bodyTimeout: 0 });

const application = polka().post("*", (request, response) => {
  void agent.request({
    origin: `http://${upstreamAddress}`,
    path: request.url,
    method: "POST",
    headers: { "content-type": "application/json" },
    body: request,
  }).then(async ({ statusCode, body }) => {
    response.writeHead(statusCode, { "content-type": "text/event-stream" });
    await pipeline(body, response);
  }).catch(() => response.destroy());
});

const server = createServer((request, response) => {
  void application.handler(request as never, response as never);
});

server.listen(0, "127.0.0.1", () => {
  const address = server.address();
  const port = typeof address === "object" ? address?.port : 0;
  announce("listening", { address: `127.0.0.1:${port}` });
});
