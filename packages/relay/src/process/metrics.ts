import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { CounterName } from "../relay_effect.ts";
import type { RelayState } from "../state.ts";
import { evacuatedReason } from "../upstreams/evacuations.ts";

/** Prometheus metrics of one relay process. */
export interface RelayMetrics {
  readonly registry: Registry;
  readonly counters: Readonly<Record<CounterName, Counter<"reason">>>;
  /** Operations of the platform's store. */
  readonly storeCalls: Counter<"reason">;
  /** Connections that were closed or not accepted as they exceed a limit. */
  readonly connectionsClosed: Counter<"reason">;
  /** Milliseconds until the answer, or the first event of a stream. */
  readonly answerMs: Histogram<"route">;
  /** Age of the report by which an engine was chosen, in milliseconds. */
  readonly reportAgeMs: Histogram;
}

const counterHelp: Readonly<Record<CounterName, string>> = {
  requests: "Requests of callers, by route",
  attempts: "Requests sent to upstreams, by route",
  refusals: "Requests refused or failed, by error kind",
  retries: "Operations tried again, by reason",
  resumptions: "Streams that went on at another engine, by reason",
  moves: "Moves of generations off engines that leave, by outcome",
  copies: "Copies of generations made ahead, by what became of them",
  stops:
    "Runs that nobody read and whose engines were asked to stop, by outcome",
  reports: "Reports requested from engines before a choice, by outcome",
  documents: "Routings read at other relays, by outcome",
};

const bucketsMs = [5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 15_000];

/** Counts upstreams that are listed as leaving but may get new requests. */
function countLeavingOpen({ upstreams, pools }: RelayState): number {
  return [...upstreams.values()].filter(({ id, state, pool = "" }) =>
    state === "leaving" && pools.get(pool)?.openUpstreams.has(id)
  ).length;
}

/** Counts upstreams that are closed for a reason. */
function countClosed({ closeReasons }: RelayState, reason: string): number {
  return [...closeReasons.values()].filter((known) => known === reason).length;
}

/** Returns the age of a moment, in milliseconds; `NaN` if it never was. */
function ageMsOf(moment: number): number {
  return moment === -Infinity ? Number.NaN : performance.now() - moment;
}

/** Creates the relay's metrics in a separate registry. */
export function createRelayMetrics(state: RelayState): RelayMetrics {
  const registry = new Registry();
  const gauges: Readonly<Record<string, () => number>> = {
    open_requests: () => state.requests.size,
    routing_version: () => state.routeTable?.routing.version ?? 0,
    upstreams: () => state.upstreams.size,
    isolated_processes: () => state.reachability.isIsolated ? 1 : 0,
    limited_upstreams: () => state.requestLimits.count,
    cold_upstreams: () => state.requestLimits.cold?.count ?? 0,
    leaving_upstreams_open: () => countLeavingOpen(state),
    store_era: () => state.storeEra ?? 0,
    store_readers: () => state.fleet.readerRank === "reader" ? 1 : 0,
    engine_reports: () => state.engineReports.count,
    upstreams_age_ms: () => ageMsOf(state.fleet.upstreams.askedAt),
    routing_age_ms: () => ageMsOf(state.fleet.configurationConfirmedAt),
    document_bytes_received: () => state.fleet.documents?.bytes.received ?? 0,
    document_bytes_sent: () => state.fleet.documents?.bytes.sent ?? 0,
    evacuated_data_centres: () => state.fleet.evacuations.dataCentres.size,
    evacuated_upstreams: () => countClosed(state, evacuatedReason),
    evacuations_age_ms: () => ageMsOf(state.fleet.evacuations.confirmedAt),
    resident_bytes: () => process.memoryUsage.rss(),
  };
  for (const [name, read] of Object.entries(gauges)) {
    new Gauge({
      name: `lavenderferry_relay_${name}`,
      help: `Number of ${name.replaceAll("_", " ")}`,
      registers: [registry],
      collect() {
        this.set(read());
      },
    });
  }
  const counter = (name: CounterName) =>
    new Counter({
      name: `lavenderferry_relay_${name}_total`,
      help: counterHelp[name],
      labelNames: ["reason"],
      registers: [registry],
    });
  return {
    registry,
    counters: {
      requests: counter("requests"),
      attempts: counter("attempts"),
      refusals: counter("refusals"),
      retries: counter("retries"),
      resumptions: counter("resumptions"),
      moves: counter("moves"),
      copies: counter("copies"),
      stops: counter("stops"),
      reports: counter("reports"),
      documents: counter("documents"),
    },
    storeCalls: new Counter({
      name: "lavenderferry_relay_store_calls_total",
      help: "Operations of the platform's store, by kind",
      labelNames: ["reason"],
      registers: [registry],
    }),
    reportAgeMs: new Histogram({
      name: "lavenderferry_relay_report_age_ms",
      help: "Milliseconds since the report by which an engine was chosen",
      buckets: bucketsMs,
      registers: [registry],
    }),
    connectionsClosed: new Counter({
      name: "lavenderferry_relay_connections_closed_total",
      help: "Connections that were closed as they exceed a limit, by limit",
      labelNames: ["reason"],
      registers: [registry],
    }),
    answerMs: new Histogram({
      name: "lavenderferry_relay_answer_ms",
      help: "Milliseconds until the answer, or its first event, by route",
      labelNames: ["route"],
      buckets: bucketsMs,
      registers: [registry],
    }),
  };
}
