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
import type { ConnectionLimits, Dispatch } from "@lavenderferry/runtime";
import {
  announce,
  ConnectionGuard,
  defaultConnectionLimits,
  Loop,
  sideConnectionLimits,
  systemClock,
} from "@lavenderferry/runtime";
import { SourceRunner } from "./fleet/source_runner.ts";
import { CallerExchanges } from "./http/caller_exchanges.ts";
import { FrontServer } from "./http/front_server.ts";
import {
  createAddressServer,
  createMetricsServer,
  createReadinessServer,
} from "./http/side_server.ts";
import { UpstreamRunner } from "./http/upstream_runner.ts";
import { ByteBudget } from "./memory/byte_budget.ts";
import type { RelayPorts } from "./ports.ts";
import { createRelayMetrics } from "./process/metrics.ts";
import { createProcessHandlers } from "./process/process_runner.ts";
import { reduceRelay } from "./reduce.ts";
import type { RelayEffect } from "./relay_effect.ts";
import type { RelayEvent } from "./relay_event.ts";
import { refusesAtOnce } from "./requests/refuses_at_once.ts";
import { routingFormat } from "./routing/routing_format.ts";
import type { RelaySettings } from "./settings.ts";
import type { RelayState } from "./state.ts";
import { createRelayState } from "./state.ts";
import { listen, waitUntilFree } from "./util/listen.ts";

const epochBytes = 6;
const metricsPath = "/metrics";

/** Handle of a started relay. */
export interface RunningRelay {
  /** Starts a planned stop, which ends after at most `stopMs`. */
  readonly stop: () => void;
  /** Closes all sockets immediately, also those in use. */
  readonly close: () => void;
}

/**
 * Starts a relay and resolves once it listens on all its sockets. `exit` is
 * called at the end of a planned stop.
 */
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
  const peerExchanges = new ExchangeRunner(peerClients, routingFormat);
  const budget = new ByteBudget(settings.heldBytes);
  const callerExchanges = new CallerExchanges(ports.headers, budget);
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
      ...callerExchanges.handlers,
      ...new UpstreamRunner({
        codec: ports.headers,
        exchanges: callerExchanges,
        copier: ports.copier,
        budget,
      }).handlers,
      ...new SourceRunner(
        ports,
        settings,
        (reason) => metrics.storeCalls.inc({ reason }),
      ).handlers,
      ...peerExchanges.handlers,
      ...createProcessHandlers({
        clock: systemClock,
        log: ports.log,
        metrics,
        exchanges: callerExchanges,
        front: (): FrontServer => frontServer,
        exit,
      }),
    },
  });
  const dispatch: Dispatch<RelayEvent> = loop.dispatch;
  const guardOf = (server: string, limits: ConnectionLimits) =>
    new ConnectionGuard({
      server,
      limits,
      onClosed: (reason) => metrics.connectionsClosed.inc({ reason }),
      openAccount: (end, hasStarted) => budget.open(end, hasStarted),
      handlerAccounts: server === "callers",
    });
  const frontServer: FrontServer = new FrontServer({
    codec: ports.headers,
    exchanges: callerExchanges,
    budget,
    refuses: (head) => refusesAtOnce(state, head, systemClock.now()),
    guard: guardOf("callers", {
      ...defaultConnectionLimits,
      ...settings.connections,
    }),
    dispatch,
  });
  const peerServer = new PeerServer(
    createPeerMethods(state, peerExchanges, dispatch),
    credentials.server,
  );
  const { ip, port } = settings.peers;
  // A server of gRPC that could not listen once never does.
  await waitUntilFree(settings.peers);
  await peerServer.listen(ip, port);
  const readinessServer = createReadinessServer(
    state,
    ports.readinessPath,
    guardOf("readiness", sideConnectionLimits),
  );
  await listen(readinessServer, settings.readiness);
  const addressServer = createAddressServer(
    state,
    ports.addresses,
    guardOf("addresses", sideConnectionLimits),
  );
  await listen(addressServer, settings.addresses);
  const metricsServer = createMetricsServer(
    metrics.registry,
    metricsPath,
    guardOf("metrics", sideConnectionLimits),
  );
  if (settings.metrics !== null) {
    await listen(metricsServer, settings.metrics);
  }
  await frontServer.listen(settings.callers);
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
      frontServer.close();
      peerServer.close();
      peerClients.close();
      for (const server of [readinessServer, addressServer, metricsServer]) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}

function createPeerMethods(
  state: RelayState,
  peerExchanges: ExchangeRunner,
  dispatch: (event: RelayEvent) => void,
): PeerMethods {
  return {
    exchange: (message) => peerExchanges.receive(message, dispatch),
    readDocument: (request) =>
      peerExchanges.documents.receive(request, dispatch),
    settle: () => Promise.reject(unsupported("does not settle usage")),
    hold: () =>
      Promise.reject(unsupported("does not hold state of other processes")),
    takeOver: () =>
      Promise.reject(unsupported("does not hand over generations")),
    drain: () => {
      dispatch({ kind: "stop_requested" });
      return Promise.resolve({ running: state.requests.size });
    },
    explain: ({ subject }) => {
      const decisions = state.decisions.findBySubject(subject);
      return Promise.resolve(toExplainReply(state.settings.vm, decisions));
    },
  };
}

function unsupported(predicate: string): Error {
  return new KnownError(`A relay ${predicate}`, { kind: "bad_request" });
}
