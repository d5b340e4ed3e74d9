import { randomBytes } from "node:crypto";
import { engineCheckHandlers, ExchangeRunner } from "@lavenderferry/fleet";
import { PlatformClient } from "@lavenderferry/platform";
import {
  createPeerCredentials,
  PeerClients,
  PeerServer,
} from "@lavenderferry/protocol";
import { announce, Loop, systemClock } from "@lavenderferry/runtime";
import { ServiceRunner } from "./calls/service_runner.ts";
import type { EntryEffect } from "./effects.ts";
import type { EntryEvent } from "./events.ts";
import { createFleetHandlers } from "./fleet/fleet_runner.ts";
import { createPeerMethods } from "./fleet/peer_methods.ts";
import { EngineRunner } from "./generations/engine_runner.ts";
import { ReaderRunner } from "./generations/reader_runner.ts";
import { createTakeOverHandlers } from "./generations/take_over_runner.ts";
import { CallerServer } from "./http/caller_server.ts";
import { createEntryMetrics } from "./process/metrics.ts";
import { createProcessHandlers } from "./process/process_runner.ts";
import { reduceEntry } from "./reduce.ts";
import type { EntrySettings } from "./settings.ts";
import type { EntryState } from "./state.ts";
import { createEntryState } from "./state.ts";
import { createUsageHandlers } from "./usage/usage_runner.ts";

const epochBytes = 6;

/** Starts an entry; resolves once it listens. */
export async function startEntry(settings: EntrySettings): Promise<void> {
  const epoch = randomBytes(epochBytes).toString("hex");
  const state = createEntryState(settings, epoch, Date.now());
  const credentials = createPeerCredentials({
    ip: settings.peers.ip,
    tls: settings.tls,
  });
  const peerClients = new PeerClients(credentials);
  const platform = new PlatformClient({ url: settings.platform });
  const exchanges = new ExchangeRunner(peerClients);
  const readers = new ReaderRunner(settings.streamSecret);
  const metrics = createEntryMetrics({
    generations: () => state.generations.size,
    backlog: () => state.waiting.size,
    calls: () => state.calls.size,
    configuration_version: () => state.timeline.latest.version,
    strangers: () => peerServer.unauthenticatedCalls,
    resident_bytes: () => process.memoryUsage.rss(),
  });
  const loop = new Loop<EntryState, EntryEvent, EntryEffect>({
    clock: systemClock,
    state,
    reduce: reduceEntry,
    handlers: {
      ...new EngineRunner().handlers,
      ...engineCheckHandlers,
      ...new ServiceRunner(platform).handlers,
      ...createFleetHandlers(platform),
      ...exchanges.handlers,
      ...createUsageHandlers(peerClients),
      ...readers.handlers,
      ...createTakeOverHandlers(peerClients, settings.vm),
      ...createProcessHandlers({
        clock: systemClock,
        metrics,
        exit: (immediate) => {
          void (immediate ? Promise.resolve() : callerServer.finish()).then(
            () => process.exit(0),
          );
        },
      }),
    },
  });
  const { dispatch } = loop;
  const callerServer = new CallerServer({ state, dispatch, readers, metrics });
  const peerServer = new PeerServer(
    createPeerMethods({ state, exchanges, dispatch }),
    credentials.server,
  );
  const { ip } = settings.callers;
  const callerPort = await callerServer.listen(ip, settings.callers.port);
  const peerPort = await peerServer.listen(
    settings.peers.ip,
    settings.peers.port,
  );
  const address = `${ip}:${callerPort}`;
  const peerAddress = `${settings.peers.ip}:${peerPort}`;
  dispatch({ kind: "listening", address, peers: peerAddress });
  announce("listening", { address, peers: peerAddress, epoch });
  process.on("SIGTERM", () => dispatch({ kind: "stop_signalled" }));
  process.on("SIGINT", () => dispatch({ kind: "stop_signalled" }));
  dispatch({ kind: "started", peerAddress });
}
