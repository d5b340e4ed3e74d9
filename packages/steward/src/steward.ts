import { randomBytes } from "node:crypto";
import { ExchangeRunner } from "@lavenderferry/fleet";
import { PlatformClient } from "@lavenderferry/platform";
import {
  createPeerCredentials,
  PeerClients,
  PeerServer,
} from "@lavenderferry/protocol";
import { announce, Loop, systemClock } from "@lavenderferry/runtime";
import type { StewardEffect } from "./effects.ts";
import type { StewardEvent } from "./events.ts";
import { createDutyHandlers } from "./fleet/duty_runner.ts";
import { createFleetHandlers } from "./fleet/fleet_runner.ts";
import { createPeerMethods } from "./fleet/peer_methods.ts";
import { createPlacementHandlers } from "./fleet/placement_runner.ts";
import { createOperatorHandlers } from "./operators/operator_runner.ts";
import { OperatorServer } from "./operators/operator_server.ts";
import { meterReducer } from "./process/meter_reducer.ts";
import { createStewardMetrics } from "./process/metrics.ts";
import { createProcessHandlers } from "./process/process_runner.ts";
import { PendingReplies } from "./process/pending_replies.ts";
import { reduceSteward } from "./reduce.ts";
import type { StewardSettings } from "./settings.ts";
import { createSettlementHandlers } from "./settlement/settlement_runner.ts";
import type { StewardState } from "./state.ts";
import { createStewardState } from "./state.ts";

const epochBytes = 6;

/** Starts a steward; resolves once both of its servers listen. */
export async function startSteward(settings: StewardSettings): Promise<void> {
  const epoch = randomBytes(epochBytes).toString("hex");
  const state = createStewardState(settings, epoch, Date.now());
  const platform = new PlatformClient({ url: settings.platform });
  const metrics = createStewardMetrics({
    configuration_version: () => state.timeline.latest.version,
    vms: () => state.vms.length,
    strangers: () => peerServer.unauthenticatedCalls,
    resident_bytes: () => process.memoryUsage.rss(),
  });
  const replies = new PendingReplies();
  const credentials = createPeerCredentials({
    ip: settings.peers.ip,
    tls: settings.tls,
  });
  const peerClients = new PeerClients(credentials);
  const exchanges = new ExchangeRunner(peerClients);
  const { dispatch } = new Loop<StewardState, StewardEvent, StewardEffect>({
    clock: systemClock,
    state,
    reduce: meterReducer(reduceSteward, metrics),
    handlers: {
      ...createOperatorHandlers({ platform, peers: peerClients, replies }),
      ...createSettlementHandlers(platform, peerClients),
      ...createFleetHandlers(platform),
      ...exchanges.handlers,
      ...createDutyHandlers(platform),
      ...createPlacementHandlers(platform),
      ...createProcessHandlers({
        clock: systemClock,
        exit: (immediate) => {
          void (immediate ? Promise.resolve() : operatorServer.finish()).then(
            () => process.exit(0),
          );
        },
      }),
    },
  });
  const operatorServer = new OperatorServer({
    settings,
    dispatch,
    replies,
    onConnectionClosed: (reason) =>
      metrics.counters.connections_closed.inc({ reason }),
  });
  const peerServer = new PeerServer(
    createPeerMethods({ state, exchanges, dispatch }),
    credentials.server,
  );
  const { ip } = settings.operators;
  operatorServer.serveMetrics(metrics.registry);
  const operatorPort = await operatorServer.listen(ip, settings.operators.port);
  const peerPort = await peerServer.listen(
    settings.peers.ip,
    settings.peers.port,
  );
  const address = `${ip}:${operatorPort}`;
  const peerAddress = `${settings.peers.ip}:${peerPort}`;
  dispatch({ kind: "listening", address, peers: peerAddress });
  announce("listening", { address, peers: peerAddress, epoch });
  process.on("SIGTERM", () => dispatch({ kind: "stop_signalled" }));
  process.on("SIGINT", () => dispatch({ kind: "stop_signalled" }));
  dispatch({ kind: "started" });
}
