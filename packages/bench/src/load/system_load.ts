import type { Statement } from "@lavenderferry/configuration";
import { eventually, System } from "@lavenderferry/proof";
import { Agent, request } from "undici";
import type { Arrival } from "./arrival_trace.ts";
import type { Outcome } from "./measured_request.ts";
import { measureRequest } from "./measured_request.ts";
import type { Scenario } from "./scenario.ts";

const drainLimitMs = 60_000;

/** Counts of the engines over the measured part of the load. */
export interface EngineCounts {
  readonly preemptions: number;
  readonly finished: number;
}

/** What one policy did with one trace. */
export interface Run {
  readonly policy: string;
  readonly outcomes: readonly Outcome[];
  readonly engines: EngineCounts;
  /** Tokens computed again or for nobody, over the whole run. */
  readonly wastedTokens: number;
}

/** Starts a system with one policy and drives the trace through it. */
export async function runPolicy(
  scenario: Scenario,
  policy: string,
  trace: { readonly arrivals: readonly Arrival[]; readonly seed: number },
): Promise<Run> {
  const { arrivals, seed } = trace;
  const system = createSystem(scenario, policy, seed);
  try {
    await system.startWith(statementOf(scenario));
    const before = { preemptions: 0, finished: 0 };
    const warm = delay(scenario.warmupMs).then(async () => {
      Object.assign(before, await readEngines(system, scenario));
    });
    const reclaimed = reclaim(system, scenario);
    const outcomes = await drive(system, scenario, arrivals);
    await Promise.all([warm, reclaimed]);
    const after = await settledEngines(system, scenario);
    const engines = {
      preemptions: after.preemptions - before.preemptions,
      finished: after.finished - before.finished,
    };
    const wastedTokens = await readWasted(system);
    return { policy, outcomes, engines, wastedTokens };
  } finally {
    await system.stop();
  }
}

function createSystem(
  scenario: Scenario,
  policy: string,
  seed: number,
): System {
  const { entries, engines, reportLagMs, sizes } = scenario;
  const engineArgs = [
    "--report-lag-ms",
    String(reportLagMs),
    "--sizes",
    JSON.stringify(sizes),
  ];
  return new System({
    entries,
    engines,
    engineArgs,
    stewards: 1,
    services: [],
    entrySettings: { policy, seed },
  });
}

function statementOf(scenario: Scenario): Statement {
  const classes = Object.entries(scenario.classes).map(([name, targets]) => [
    name,
    { title: name, targets, split: "bench", delivery: "stream" },
  ]);
  return {
    partners: { bench: { title: "Bench" } },
    splits: { bench: { parts: { bench: 1_000_000 } } },
    classes: Object.fromEntries(classes) as Statement["classes"],
  };
}

async function drive(
  system: System,
  scenario: Scenario,
  arrivals: readonly Arrival[],
): Promise<readonly Outcome[]> {
  const agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  const startedAt = performance.now();
  const outcomes: Promise<Outcome>[] = [];
  for (const [index, arrival] of arrivals.entries()) {
    await delay(arrival.atMs - (performance.now() - startedAt));
    const targets = scenario.classes[arrival.workClass];
    if (targets === undefined) {
      throw new RangeError(`No class is called "${arrival.workClass}"`);
    }
    const url = system.url(`entry-${index % scenario.entries}`);
    const key = system.callerKey(arrival.workspace);
    const measured = { arrival, targets, startedAt };
    outcomes.push(measureRequest(agent, { url, key }, measured));
  }
  const limit = setTimeout(() => void agent.destroy(), drainLimitMs);
  const ended = await Promise.all(outcomes);
  clearTimeout(limit);
  await agent.destroy();
  return ended;
}

async function reclaim(system: System, scenario: Scenario): Promise<void> {
  if (scenario.reclaimAtMs === undefined) {
    return;
  }
  await delay(scenario.reclaimAtMs);
  for (let index = 0; index < scenario.engines / 2; index++) {
    system.program(`engine-${index}`).signal("SIGKILL");
  }
}

async function readEngines(
  system: System,
  scenario: Scenario,
): Promise<EngineCounts & { readonly idle: boolean }> {
  const counts = { preemptions: 0, finished: 0, idle: true };
  for (let index = 0; index < scenario.engines; index++) {
    const name = `engine-${index}`;
    if (system.program(name).ended) {
      continue;
    }
    const response = await request(`${system.url(name)}/v1/load`);
    const load = await response.body.json() as Load;
    counts.preemptions += load.preemptions;
    counts.finished += load.finished;
    counts.idle &&= load.running + load.waiting === 0;
  }
  return counts;
}

/** Reads the engines once their lagged reports show no work. */
async function settledEngines(
  system: System,
  scenario: Scenario,
): Promise<EngineCounts> {
  await delay(scenario.reportLagMs);
  return await eventually(
    () => readEngines(system, scenario),
    ({ idle }) => idle,
  );
}

async function readWasted(system: System): Promise<number> {
  await delay(settlementMs);
  const { costs } = await system.operator().get("costs") as {
    costs: readonly { readonly unit: string; readonly microUnits: string }[];
  };
  return costs
    .filter(({ unit }) => unit === "recomputed" || unit === "discarded")
    .reduce((sum, { microUnits }) => sum + Number(microUnits), 0) / 1_000_000;
}

const settlementMs = 2_500;

interface Load extends EngineCounts {
  readonly running: number;
  readonly waiting: number;
}

function delay(milliseconds: number): Promise<void> {
  return milliseconds <= 0
    ? Promise.resolve()
    : new Promise((resolve) => setTimeout(resolve, milliseconds));
}
