import { Counter, Gauge, Registry } from "prom-client";

/** Names of the steward's counters, without prefix and `_total`. */
export type CounterName =
  | "operations"
  | "refusals"
  | "changes"
  | "settlements"
  | "retries"
  | "connections_closed";

/** Registry of the steward's metrics, and its counters by name. */
export interface StewardMetrics {
  readonly registry: Registry;
  readonly counters: Readonly<Record<CounterName, Counter<"reason">>>;
}

const counterHelp: Readonly<Record<CounterName, string>> = {
  operations: "Operations asked for by operators, by kind",
  refusals: "Operations refused or failed, by error kind",
  changes: "Changes of the configuration, by outcome",
  settlements: "Settlements of usage, by outcome",
  retries: "Operations tried again, by reason",
  connections_closed: "Connections that exceeded a limit, by limit",
};

/** Creates the steward's metrics; `gauges` has a function for each value. */
export function createStewardMetrics(
  gauges: Readonly<Record<string, () => number>>,
): StewardMetrics {
  const registry = new Registry();
  for (const [name, read] of Object.entries(gauges)) {
    new Gauge({
      name: `lavenderferry_steward_${name}`,
      help: `Number of ${name.replaceAll("_", " ")}`,
      registers: [registry],
      collect() {
        this.set(read());
      },
    });
  }
  const counters = Object.entries(counterHelp).map(([name, help]) =>
    [
      name,
      new Counter({
        name: `lavenderferry_steward_${name}_total`,
        help,
        labelNames: ["reason"],
        registers: [registry],
      }),
    ] as const
  );
  return {
    registry,
    counters: Object.fromEntries(counters) as StewardMetrics["counters"],
  };
}
