import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { CounterName, HistogramName } from "./process_effect.ts";

/** Prometheus metrics of the entry. */
export interface EntryMetrics {
  readonly registry: Registry;
  readonly counters: Readonly<Record<CounterName, Counter<"reason">>>;
  readonly histograms: Readonly<Record<HistogramName, Histogram<"class">>>;
}

const counterHelp: Readonly<Record<CounterName, string>> = {
  requests: "Generations sent to engines",
  refusals: "Requests refused or failed, by error kind",
  retries: "Operations tried again, by reason",
  resumes: "Streams resumed, by reason",
  late_tokens: "Tokens dropped because they were late or repeated",
  tokens: "Tokens relayed, by class",
  calls: "Calls sent to plain services, by service",
  replays: "Calls answered from their record",
  connections_closed: "Connections that exceeded a limit, by limit",
};

const histogramHelp: Readonly<Record<HistogramName, string>> = {
  first_token: "Milliseconds until the first token",
  between_tokens: "Milliseconds between tokens",
  stall: "Milliseconds without progress beyond the target, by generation",
};

const bucketsMs = [
  5,
  10,
  20,
  35,
  55,
  80,
  120,
  200,
  350,
  600,
  1_000,
  2_000,
  5_000,
  15_000,
  60_000,
];

/** Creates the metrics; `gauges` maps a name to a getter of its value. */
export function createEntryMetrics(
  gauges: Readonly<Record<string, () => number>>,
): EntryMetrics {
  const registry = new Registry();
  for (const [name, read] of Object.entries(gauges)) {
    new Gauge({
      name: `lavenderferry_entry_${name}`,
      help: `Number of ${name.replaceAll("_", " ")}`,
      registers: [registry],
      collect() {
        this.set(read());
      },
    });
  }
  return {
    registry,
    counters: mapNames(counterHelp, (name, help) =>
      new Counter({
        name: `lavenderferry_entry_${name}_total`,
        help,
        labelNames: ["reason"],
        registers: [registry],
      })),
    histograms: mapNames(histogramHelp, (name, help) =>
      new Histogram({
        name: `lavenderferry_entry_${name}_ms`,
        help,
        labelNames: ["class"],
        buckets: bucketsMs,
        registers: [registry],
      })),
  };
}

function mapNames<Name extends string, Value>(
  help: Readonly<Record<Name, string>>,
  create: (name: Name, help: string) => Value,
): Record<Name, Value> {
  const pairs = Object.entries<string>(help).map(([name, text]) =>
    [name, create(name as Name, text)] as const
  );
  return Object.fromEntries(pairs) as Record<Name, Value>;
}
