import { randomBytes } from "node:crypto";
import { PlatformClient } from "@lavenderferry/platform";
import { PeerClients, PeerServer } from "@lavenderferry/protocol";
import { announce, Loop, systemClock } from "@lavenderferry/runtime";
import type { StewardEffect } from "./effects.ts";
import type { StewardEvent } from "./events.ts";
import { createFleetHandlers } from "./fleet/fleet_runner.ts";
import { createPeerMethods } from "./fleet/peer_methods.ts";
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
  const state = createStewardState(settings, epoch);
  const platform = new PlatformClient({ url: settings.platform });
  const metrics = createStewardMetrics({
    configuration_version: () => state.timeline.latest.version,
    vms: () => state.vms.length,
    resident_bytes: () => process.memoryUsage.rss(),
  });
  const replies = new Replies();
  const clients = new PeerClients();
  const { dispatch } = new Loop<StewardState, StewardEvent, StewardEffect>({
    clock: systemClock,
    state,
    reduce: meterReducer(reduceSteward, metrics),
    handlers: {
      ...createOperatorHandlers({ platform, peers: clients, replies }),
      ...createSettlementHandlers({
        platform,
        timeline: state.timeline,
        replies,
      }),
      ...createFleetHandlers(platform),
      ...createProcessHandlers({
        clock: systemClock,
        exit: () => process.exit(0),
      }),
    },
  });
  const operators = new OperatorServer({ settings, dispatch, replies });
  const peers = new PeerServer(createPeerMethods({ state, replies, dispatch }));
  const { ip } = settings.operators;
  operators.serveMetrics(metrics.registry);
  const operatorPort = await operators.listen(ip, settings.operators.port);
  const peerPort = await peers.listen(settings.peers.ip, settings.peers.port);
  announce("listening", {
    address: `${ip}:${operatorPort}`,
    peers: `${settings.peers.ip}:${peerPort}`,
    epoch,
  });
  process.on("SIGTERM", () => dispatch({ kind: "stop_requested" }));
  process.on("SIGINT", () => dispatch({ kind: "stop_requested" }));
  dispatch({ kind: "started" });
}
