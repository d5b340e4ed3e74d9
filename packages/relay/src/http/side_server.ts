import type { Server } from "node:http";
import { listEntries } from "@lavenderferry/fleet";
import type { ConnectionGuard } from "@lavenderferry/runtime";
import { announce } from "@lavenderferry/runtime";
import polka from "polka";
import type { Registry } from "prom-client";
import type { AddressCodec } from "../ports.ts";
import type { RelayState } from "../state.ts";
import { isReady } from "../util/is_ready.ts";

/** Milliseconds for which callers may use the addresses of an answer. */
const addressLifetimeMs = 2_000;

/** Base of request paths, which `URL` parses only with an origin. */
const placeholderOrigin = "http://localhost";

/**
 * Live members that a data centre must have for its callers to get only the
 * addresses of these members.
 */
const minNearMembers = 2;

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
  const application = polka().get(codec.path, (request, response) => {
    const query = new URL(request.url ?? "/", placeholderOrigin).searchParams;
    const { dataCentre } = codec.readQuery(query);
    const addresses = addressesFor(state, dataCentre, rotation++);
    if (addresses.length === 0) {
      response.writeHead(503).end();
      return;
    }
    const document = codec.writeAnswer(addresses, addressLifetimeMs);
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(document));
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

/**
 * Lists the addresses for a caller: those of its data centre while that has
 * enough live members, otherwise those of all data centres.
 */
function addressesFor(
  state: RelayState,
  dataCentre: string,
  rotation: number,
): readonly string[] {
  if (!state.membersKnown || state.routeTable === null) {
    return [];
  }
  const members = state.fleet.membership.all();
  const near = members.filter((member) =>
    member.dataCentre === dataCentre && member.state === "live"
  );
  const entries = listEntries(near.length >= minNearMembers ? near : members, {
    dataCentre,
    rotation,
  });
  return entries.map(({ address }) => address);
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
