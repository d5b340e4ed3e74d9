import { Random } from "@lavenderferry/runtime";
import { sampleStatement } from "../harness/sample_statement.ts";
import { System } from "../harness/system.ts";
import { checkHistory } from "../history/check_history.ts";
import type { HistoryRecord, RecordKind } from "../history/history_record.ts";
import type { Violation } from "../history/violation.ts";
import type { FaultKind } from "./fault_kinds.ts";
import { faultKindNames, faultKinds } from "./fault_kinds.ts";
import { Workload } from "./workload.ts";

/** What a run of faults is made from. */
export interface FaultRun {
  readonly seed: number;
  readonly durationMs: number;
  /** Kinds of faults that are left out. */
  readonly without?: readonly string[];
}

/** What a run of faults checked. */
export interface FaultReport {
  readonly seed: number;
  readonly seconds: number;
  readonly tokens: number;
  readonly generations: Readonly<Record<string, number>>;
  readonly reconnects: number;
  readonly bookings: number;
  readonly bookingAttempts: number;
  readonly bookingRuns: number;
  readonly configurationsAccepted: number;
  readonly configurationConflicts: number;
  readonly configurationsSeen: number;
  readonly faults: Readonly<Partial<Record<FaultKind, number>>>;
  readonly violations: readonly Violation[];
}

const services = ["service-0", "service-1"] as const;
const leastHoldMs = 300;
const mostHoldMs = 3_000;
const leastGapMs = 200;
const mostGapMs = 900;
const maxFaults = 3;

/** Runs callers and operators under seeded faults and checks the history. */
export async function runFaults(run: FaultRun): Promise<FaultReport> {
  const { seed } = run;
  const started = performance.now();
  const system = new System({
    entries: 3,
    stewards: 2,
    engines: 3,
    links: true,
    entrySettings: { stopMs: 2_000 },
  });
  try {
    await system.startWith(sampleStatement);
    const workload = new Workload(system, new Random(seed));
    const working = workload.run({ readers: 6, bookers: 3 });
    const faults = await injectFaults(system, run);
    workload.stop();
    await working;
    await workload.collectRuns(services);
    const seconds = Math.round((performance.now() - started) / 1_000);
    return { ...summarize(workload), seed, seconds, faults };
  } finally {
    await system.stop();
  }
}

/** Starts faults one after the other; up to three last at the same time. */
async function injectFaults(
  system: System,
  { seed, durationMs, without = [] }: FaultRun,
): Promise<Partial<Record<FaultKind, number>>> {
  const random = new Random(seed + 1);
  const counts: Partial<Record<FaultKind, number>> = {};
  const running = new Set<Promise<void>>();
  const taken = new Set<string>();
  const kinds = faultKindNames.filter((kind) => !without.includes(kind));
  const order = shuffle(kinds, random);
  const deadline = performance.now() + durationMs;
  for (let next = 0; performance.now() < deadline; next++) {
    const kind = order[next % order.length] ?? "linkCut";
    const holdMs = between(random, leastHoldMs, mostHoldMs);
    const hold = () => pause(holdMs);
    const fault = faultKinds[kind]({ system, random, hold, taken });
    const ended = fault.finally(() => running.delete(ended));
    running.add(ended);
    counts[kind] = (counts[kind] ?? 0) + 1;
    if (running.size >= maxFaults) {
      await Promise.race(running);
    }
    await pause(between(random, leastGapMs, mostGapMs));
  }
  await Promise.all(running);
  return counts;
}

function summarize(
  { records, outcomes, reconnects, configurations, conflicts }: Workload,
): Omit<FaultReport, "seed" | "seconds" | "faults"> {
  const keys = records.flatMap((each) =>
    each.kind === "call_answered" ? [each.key] : []
  );
  return {
    tokens: countOf(records, "token_read"),
    generations: Object.fromEntries(outcomes),
    reconnects,
    bookings: new Set(keys).size,
    bookingAttempts: keys.length,
    bookingRuns: countOf(records, "call_run"),
    configurationsAccepted: configurations,
    configurationConflicts: conflicts,
    configurationsSeen: countOf(records, "configuration_seen"),
    violations: checkHistory(records),
  };
}

function countOf(
  records: readonly HistoryRecord[],
  kind: RecordKind,
): number {
  return records.filter((each) => each.kind === kind).length;
}

function shuffle<Item>(items: readonly Item[], random: Random): Item[] {
  const left = [...items];
  const shuffled: Item[] = [];
  while (left.length > 0) {
    shuffled.push(...left.splice(random.below(left.length), 1));
  }
  return shuffled;
}

function between(random: Random, least: number, most: number): number {
  return least + random.below(most - least);
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
