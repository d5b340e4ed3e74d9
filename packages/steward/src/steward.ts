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
import { Replies } from "./process/replies.ts";
import { reduceSteward } from "./reduce.ts";
import type { StewardSettings } from "./settings.ts";
import { createSettlementHandlers } from "./settlement/settlement_runner.ts";
import type { StewardState } from "./state.ts";
import { createStewardState } from "./state.ts";

const epochBytes = 6;

/** Starts a steward; resolves once it listens. */
export async function startSteward(settings: StewardSettings): Promise<void> {
  const epoch = randomBytes(epochBytes).toString("hex");
  const state = createStewardState(settings, epoch, Date.now());
  const platform = new PlatformClient({ url: settings.platform });
  const metrics = createStewardMetrics({
    configuration_version: () => state.timeline.latest.version,
    vms: () => state.vms.length,
    strangers: () => peers.strangers,
    resident_bytes: () => process.memoryUsage.rss(),
  });
  const replies = new Replies();
  const credentials = createPeerCredentials({
    ip: settings.peers.ip,
    tls: settings.tls,
  });
  const clients = new PeerClients(credentials);
  const exchanges = new ExchangeRunner(clients);
  const { dispatch } = new Loop<StewardState, StewardEvent, StewardEffect>({
    clock: systemClock,
    state,
    reduce: meterReducer(reduceSteward, metrics),
    handlers: {
      ...createOperatorHandlers({ platform, peers: clients, replies }),
      ...createSettlementHandlers(platform, clients),
      ...createFleetHandlers(platform),
      ...exchanges.handlers,
      ...createDutyHandlers(platform),
      ...createPlacementHandlers(platform),
      ...createProcessHandlers({
        clock: systemClock,
        exit: () => process.exit(0),
      }),
    },
  });
  const operators = new OperatorServer({ settings, dispatch, replies });
  const peers = new PeerServer(
    createPeerMethods({ state, exchanges, dispatch }),
    credentials.server,
  );
  const { ip } = settings.operators;
  operators.serveMetrics(metrics.registry);
  const operatorPort = await operators.listen(ip, settings.operators.port);
  const peerPort = await peers.listen(settings.peers.ip, settings.peers.port);
  const address = `${ip}:${operatorPort}`;
  const peersAddress = `${settings.peers.ip}:${peerPort}`;
  dispatch({ kind: "listening", address, peers: peersAddress });
  announce("listening", { address, peers: peersAddress, epoch });
  process.on("SIGTERM", () => dispatch({ kind: "stop_requested" }));
  process.on("SIGINT", () => dispatch({ kind: "stop_requested" }));
  dispatch({ kind: "started" });
}
