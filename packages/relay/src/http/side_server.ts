import type { Server } from "node:http";
import { createServer } from "node:http";
import { listEntries } from "@lavenderferry/fleet";
import { announce } from "@lavenderferry/runtime";
import polka from "polka";
import type { Registry } from "prom-client";
import type { AddressCodec } from "../ports.ts";
import type { RelayState } from "../state.ts";
import { isReady } from "../util/is_ready.ts";

/** Milliseconds for which callers may keep addresses. */
const keepAddressesMs = 2_000;

/** Completes the path of a request to an address that can be parsed. */
const placeholderOrigin = "http://localhost";

/** Live processes of a data centre that serve its callers by themselves. */
const leastNear = 2;

/** Serves whether this process takes requests. */
export function createReadinessServer(
  state: RelayState,
  path: string,
): Server {
  const application = polka().get(path, (_request, response) => {
    response.writeHead(isReady(state) ? 200 : 503).end();
  });
  return serverOf(application);
}

/** Serves the addresses that callers should use. */
export function createAddressServer(
  state: RelayState,
  codec: AddressCodec,
): Server {
  let turn = 0;
  const application = polka().get(codec.path, (request, response) => {
    const query = new URL(request.url ?? "/", placeholderOrigin).searchParams;
    const { dataCentre } = codec.readQuestion(query);
    const addresses = addressesFor(state, dataCentre, turn++);
    if (addresses.length === 0) {
      response.writeHead(503).end();
      return;
    }
    const document = codec.writeAnswer(addresses, keepAddressesMs);
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(document));
  });
  return serverOf(application);
}

/** Serves the process's series. */
export function createMetricsServer(registry: Registry, path: string): Server {
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
  return serverOf(application);
}

/** Callers stay in their data centre while it has processes enough. */
function addressesFor(
  state: RelayState,
  dataCentre: string,
  turn: number,
): readonly string[] {
  if (!state.membersKnown || state.routes === null) {
    return [];
  }
  const members = state.fleet.membership.all();
  const near = members.filter((each) =>
    each.dataCentre === dataCentre && each.state === "live"
  );
  const entries = listEntries(near.length >= leastNear ? near : members, {
    dataCentre,
    turn,
  });
  return entries.map(({ address }) => address);
}

function serverOf(application: ReturnType<typeof polka>): Server {
  return createServer((request, response) => {
    void application.handler(request as never, response as never);
  });
}
