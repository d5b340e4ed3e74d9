import type { ServerResponse } from "node:http";
import type { Registry } from "prom-client";

/** Sends the metrics of a registry in the Prometheus text format. */
export async function sendMetrics(
  response: ServerResponse,
  registry: Registry,
): Promise<void> {
  const text = await registry.metrics();
  response.writeHead(200, { "content-type": registry.contentType });
  response.end(text);
}
