import type { Server } from "node:http";
import type { ConnectionGuard } from "@lavenderferry/runtime";
import { announce } from "@lavenderferry/runtime";
import polka from "polka";
import type { Registry } from "prom-client";
import type { AddressCodec } from "../ports.ts";
import type { RelayState } from "../state.ts";
import { isReady } from "../util/is_ready.ts";
import { AddressChecks } from "./address_checks.ts";
import { listAddresses } from "./list_addresses.ts";

/** Milliseconds for which callers may use the addresses of an answer. */
const addressLifetimeMs = 2_000;

/** Base of request paths, which `URL` parses only with an origin. */
const placeholderOrigin = "http://localhost";

/** Serves the readiness probe: 200 while the process is ready, else 503. */
export function createReadinessServer(
  state: RelayState,
  path: string,
  guard: ConnectionGuard,
): Server {
  const application = polka().get(path, (_request, response) => {
    response.writeHead(isReady(state) ? 200 : 503).end();
  });
  return serverOf(application, guard);
}

/** Serves the addresses that callers should use; 503 when none is known. */
export function createAddressServer(
  state: RelayState,
  codec: AddressCodec,
  guard: ConnectionGuard,
): Server {
  let rotation = 0;
  const checks = new AddressChecks();
  const application = polka().get(codec.path, (request, response) => {
    const query = new URL(request.url ?? "/", placeholderOrigin).searchParams;
    const { dataCentre } = codec.readQuery(query);
    const now = performance.now();
    const options = { dataCentre, rotation: rotation++, checks, now };
    listAddresses(state, options).then((addresses) => {
      if (addresses.length === 0) {
        response.writeHead(503).end();
        return;
      }
      const document = codec.writeAnswer(addresses, addressLifetimeMs);
      response.writeHead(200, { "content-type": "application/json" });
      response.end(JSON.stringify(document));
    }).catch((error: unknown) => {
      announce("addresses_failed", { error: String(error) });
      response.destroy();
    });
  });
  return serverOf(application, guard);
}

/** Serves the metrics of the process. */
export function createMetricsServer(
  registry: Registry,
  path: string,
  guard: ConnectionGuard,
): Server {
  const application = polka().get(path, (_request, response) => {
    registry.metrics().then(
      (text) => {
        response.writeHead(200, { "content-type": registry.contentType });
        response.end(text);
      },
      (error: unknown) => {
        announce("metrics_failed", { error: String(error) });
        response.writeHead(500).end();
      },
    );
  });
  return serverOf(application, guard);
}

function serverOf(
  application: ReturnType<typeof polka>,
  guard: ConnectionGuard,
): Server {
  return guard.createServer({}, (request, response) => {
    try {
      void application.handler(request as never, response as never);
    } catch (error) {
      announce("unreadable_request", { error: String(error) });
      response.destroy();
    }
  });
}
