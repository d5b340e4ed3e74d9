import { randomBytes } from "node:crypto";
import { KnownError } from "@lavenderferry/errors";
import { ExchangeRunner } from "@lavenderferry/fleet";
import type { PeerMethods } from "@lavenderferry/protocol";
import {
  createPeerCredentials,
  PeerClients,
  PeerServer,
  toExplainReply,
} from "@lavenderferry/protocol";
import type { Dispatch } from "@lavenderferry/runtime";
import { announce, Loop, systemClock } from "@lavenderferry/runtime";
import { SourceRunner } from "./fleet/source_runner.ts";
import { CallerExchanges } from "./http/caller_exchanges.ts";
import { FrontServer } from "./http/front_server.ts";
import {
  createAddressServer,
  createMetricsServer,
  createReadinessServer,
} from "./http/side_server.ts";
import { UpstreamRunner } from "./http/upstream_runner.ts";
import type { RelayPorts } from "./ports.ts";
import { createRelayMetrics } from "./process/metrics.ts";
import { createProcessHandlers } from "./process/process_runner.ts";
import { reduceRelay } from "./reduce.ts";
import type { RelayEffect } from "./relay_effect.ts";
import type { RelayEvent } from "./relay_event.ts";
import type { RelaySettings } from "./settings.ts";
import type { RelayState } from "./state.ts";
import { createRelayState } from "./state.ts";
import { listen } from "./util/listen.ts";

const epochBytes = 6;
const metricsPath = "/metrics";

/** A relay that listens. */
export interface RunningRelay {
  /** Takes no new callers, and ends once nothing runs. */
  readonly stop: () => void;
  /** Closes all sockets at once. */
  readonly close: () => void;
}

/** Starts a relay; resolves once it listens. */
export async function startRelay(
  settings: RelaySettings,
  ports: RelayPorts,
  exit: () => void,
): Promise<RunningRelay> {
  const epoch = randomBytes(epochBytes).toString("hex");
  const state = createRelayState(settings, epoch, Date.now());
  const credentials = createPeerCredentials({
    ip: settings.peers.ip,
    privateNetwork: true,
  });
  const peerClients = new PeerClients(credentials);
  const exchanges = new ExchangeRunner(peerClients);
  const callers = new CallerExchanges(ports.headers);
  const metrics = createRelayMetrics(state);
  const loop: Loop<RelayState, RelayEvent, RelayEffect> = new Loop<
    RelayState,
    RelayEvent,
    RelayEffect
  >({
    clock: systemClock,
    state,
    reduce: reduceRelay,
    handlers: {
      ...callers.handlers,
      ...new UpstreamRunner(ports.headers, callers, ports.copier).handlers,
      ...new SourceRunner(ports, settings).handlers,
      ...exchanges.handlers,
      ...createProcessHandlers({
        clock: systemClock,
        log: ports.log,
        metrics,
        exchanges: callers,
        front: (): FrontServer => front,
        exit,
      }),
    },
  });
  const dispatch: Dispatch<RelayEvent> = loop.dispatch;
  const front: FrontServer = new FrontServer({
    codec: ports.headers,
    exchanges: callers,
    dispatch,
  });
  const peers = new PeerServer(
    createPeerMethods(state, exchanges, dispatch),
    credentials.server,
  );
  await peers.listen(settings.peers.ip, settings.peers.port);
  const readiness = createReadinessServer(state, ports.readinessPath);
  await listen(readiness, settings.readiness);
  const addresses = createAddressServer(state, ports.addresses);
  await listen(addresses, settings.addresses);
  const series = createMetricsServer(metrics.registry, metricsPath);
  if (settings.metrics !== null) {
    await listen(series, settings.metrics);
  }
  await front.listen(settings.callers);
  const address = `${settings.callers.ip}:${settings.callers.port}`;
  const peersAddress = `${settings.peers.ip}:${settings.peers.port}`;
  dispatch({ kind: "listening", address, peers: peersAddress });
  announce("listening", { vm: settings.vm, address, epoch });
  dispatch({ kind: "started" });
  return {
    stop: () => {
      announce("stopping", { vm: settings.vm, epoch });
      dispatch({ kind: "stop_requested" });
    },
    close: () => {
      front.close();
      peers.close();
      peerClients.close();
      for (const server of [readiness, addresses, series]) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}

function createPeerMethods(
  state: RelayState,
  exchanges: ExchangeRunner,
  dispatch: (event: RelayEvent) => void,
): PeerMethods {
  return {
    exchange: (message) => exchanges.receive(message, dispatch),
    settle: () => Promise.reject(unsupported("settles no usage")),
    hold: () => Promise.reject(unsupported("holds nothing for others")),
    takeOver: () => Promise.reject(unsupported("hands no generation over")),
    drain: () => {
      dispatch({ kind: "stop_requested" });
      return Promise.resolve({ running: state.requests.size });
    },
    explain: ({ subject }) => {
      const decisions = state.decisions.about(subject);
      return Promise.resolve(toExplainReply(state.settings.vm, decisions));
    },
  };
}

function unsupported(what: string): Error {
  return new KnownError(`A relay ${what}`, { kind: "bad_request" });
}
