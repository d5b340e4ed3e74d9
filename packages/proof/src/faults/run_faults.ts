import { Random } from "@lavenderferry/runtime";
import { sampleStatement } from "../harness/sample_statement.ts";
import { System } from "../harness/system.ts";
import { checkHistory } from "../history/check_history.ts";
import type { HistoryRecord, RecordKind } from "../history/history_record.ts";
import type { Violation } from "../history/violation.ts";
import type { FaultKind } from "./fault_kinds.ts";
import { faultKindNames, faultKinds } from "./fault_kinds.ts";
import { Workload } from "./workload.ts";

/** Options of {@link runFaults}. */
export interface FaultRunOptions {
  readonly seed: number;
  /** Time during which faults are started. */
  readonly durationMs: number;
  /** Kinds of faults that are left out. */
  readonly without?: readonly string[];
}

/** Result of a fault run, printed as JSON by the command. */
export interface FaultReport {
  readonly seed: number;
  /** Duration of the run, with the start of the system but not its stop. */
  readonly seconds: number;
  /** Tokens received over streams. */
  readonly tokens: number;
  /** Number of generations by outcome, as in {@link ReaderResult}. */
  readonly generations: Readonly<Record<string, number>>;
  /** Connections of readers after their first one. */
  readonly reconnects: number;
  /** Number of distinct idempotency keys. */
  readonly bookings: number;
  readonly bookingAttempts: number;
  /** Bookings that services ran. */
  readonly bookingRuns: number;
  readonly configurationsAccepted: number;
  /** Changes refused because the version was no longer current. */
  readonly configurationConflicts: number;
  /** Number of versions read from the metrics of entries. */
  readonly configurationsSeen: number;
  /** Number of faults started, by kind. */
  readonly faults: Readonly<Partial<Record<FaultKind, number>>>;
  readonly violations: readonly Violation[];
}

const minFaultMs = 300;
const maxFaultMs = 3_000;
const minGapMs = 200;
const maxGapMs = 900;
const maxConcurrentFaults = 3;

/**
 * Runs callers and operators against a real system while faults of a seeded
 * schedule are injected, and checks the recorded history.
 */
export async function runFaults(
  options: FaultRunOptions,
): Promise<FaultReport> {
  const { seed } = options;
  const startedAt = performance.now();
  const system = new System({
    entries: 3,
    stewards: 2,
    engines: 3,
    links: true,
    entrySettings: { stopMs: 2_000 },
  });
  try {
    await system.startWithConfiguration(sampleStatement);
    const workload = new Workload(system, new Random(seed));
    const workloadEnd = workload.run({ readers: 6, bookers: 3 });
    const faults = await injectFaults(system, options);
    workload.stop();
    await workloadEnd;
    await workload.recordServiceRuns();
    const seconds = Math.round((performance.now() - startedAt) / 1_000);
    return { ...summarize(workload), seed, seconds, faults };
  } finally {
    await system.stop();
  }
}

/**
 * Starts faults one after the other, of which up to three last at the same
 * time. Goes through every kind in a shuffled order before it repeats one.
 */
async function injectFaults(
  system: System,
  { seed, durationMs, without = [] }: FaultRunOptions,
): Promise<Partial<Record<FaultKind, number>>> {
  const random = new Random(seed + 1);
  const counts: Partial<Record<FaultKind, number>> = {};
  const activeFaults = new Set<Promise<void>>();
  const claimedPrograms = new Set<string>();
  const kinds = faultKindNames.filter((kind) => !without.includes(kind));
  const shuffledKinds = shuffle(kinds, random);
  const deadline = performance.now() + durationMs;
  for (let index = 0; performance.now() < deadline; index++) {
    const kind = shuffledKinds[index % shuffledKinds.length] ?? "linkCut";
    const faultMs = randomBetween(random, minFaultMs, maxFaultMs);
    const untilFaultEnds = () => delay(faultMs);
    const injection = faultKinds[kind]({
      system,
      random,
      untilFaultEnds,
      claimedPrograms,
    });
    const activeFault = injection.finally(() =>
      activeFaults.delete(activeFault)
    );
    activeFaults.add(activeFault);
    counts[kind] = (counts[kind] ?? 0) + 1;
    if (activeFaults.size >= maxConcurrentFaults) {
      await Promise.race(activeFaults);
    }
    await delay(randomBetween(random, minGapMs, maxGapMs));
  }
  await Promise.all(activeFaults);
  return counts;
}

function summarize(
  {
    records,
    outcomes,
    reconnects,
    acceptedConfigurations,
    configurationConflicts,
  }: Workload,
): Omit<FaultReport, "seed" | "seconds" | "faults"> {
  const keys = records.flatMap((record) =>
    record.kind === "call_answered" ? [record.key] : []
  );
  return {
    tokens: countRecords(records, "token_read"),
    generations: Object.fromEntries(outcomes),
    reconnects,
    bookings: new Set(keys).size,
    bookingAttempts: keys.length,
    bookingRuns: countRecords(records, "call_run"),
    configurationsAccepted: acceptedConfigurations,
    configurationConflicts,
    configurationsSeen: countRecords(records, "configuration_seen"),
    violations: checkHistory(records),
  };
}

function countRecords(
  records: readonly HistoryRecord[],
  kind: RecordKind,
): number {
  return records.filter((record) => record.kind === kind).length;
}

function shuffle<Item>(items: readonly Item[], random: Random): Item[] {
  const remaining = [...items];
  const shuffled: Item[] = [];
  while (remaining.length > 0) {
    shuffled.push(
      ...remaining.splice(random.integerBelow(remaining.length), 1),
    );
  }
  return shuffled;
}

/** Returns an integer from `min` up to but not including `max`. */
function randomBetween(random: Random, min: number, max: number): number {
  return min + random.integerBelow(max - min);
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
