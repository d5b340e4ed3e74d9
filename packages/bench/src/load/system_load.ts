import type { Statement } from "@lavenderferry/configuration";
import { eventually, System } from "@lavenderferry/proof";
import { Agent, request } from "undici";
import type { Arrival } from "./arrival_trace.ts";
import type { RequestOutcome } from "./measured_request.ts";
import { measureRequest } from "./measured_request.ts";
import type { Scenario } from "./scenario.ts";

/** Time after the last arrival in which open requests may complete. */
const drainTimeoutMs = 60_000;

/** Sums of the counters of all engines. */
export interface EngineCounts {
  readonly preemptions: number;
  readonly finished: number;
}

/** Results of one policy for one trace. */
export interface PolicyRun {
  readonly policy: string;
  readonly outcomes: readonly RequestOutcome[];
  /** Counts after the warm-up. */
  readonly engines: EngineCounts;
  /**
   * Tokens that were recomputed, or discarded because the request was
   * cancelled, over the whole run.
   */
  readonly wastedTokens: number;
}

/** Starts a system with one policy and sends it the requests of the trace. */
export async function runPolicy(
  scenario: Scenario,
  policy: string,
  trace: { readonly arrivals: readonly Arrival[]; readonly seed: number },
): Promise<PolicyRun> {
  const { arrivals, seed } = trace;
  const system = createSystem(scenario, policy, seed);
  try {
    await system.startWithConfiguration(createStatement(scenario));
    const before = { preemptions: 0, finished: 0 };
    const warmUpCounted = delay(scenario.warmUpMs).then(async () => {
      Object.assign(before, await readEngineCounts(system, scenario));
    });
    const enginesReclaimed = killHalfOfEngines(system, scenario);
    const outcomes = await sendArrivals(system, scenario, arrivals);
    await Promise.all([warmUpCounted, enginesReclaimed]);
    const after = await readIdleEngineCounts(system, scenario);
    const engines = {
      preemptions: after.preemptions - before.preemptions,
      finished: after.finished - before.finished,
    };
    const wastedTokens = await readWastedTokens(system);
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

function createStatement(scenario: Scenario): Statement {
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

async function sendArrivals(
  system: System,
  scenario: Scenario,
  arrivals: readonly Arrival[],
): Promise<readonly RequestOutcome[]> {
  const agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  const startedAt = performance.now();
  const outcomes: Promise<RequestOutcome>[] = [];
  for (const [index, arrival] of arrivals.entries()) {
    await delay(arrival.atMs - (performance.now() - startedAt));
    const targets = scenario.classes[arrival.workClass];
    if (targets === undefined) {
      throw new RangeError(`Class "${arrival.workClass}" does not exist`);
    }
    const url = system.url(`entry-${index % scenario.entries}`);
    const key = system.callerKey(arrival.workspace);
    const requestToMeasure = { arrival, targets, startedAt };
    outcomes.push(measureRequest(agent, { url, key }, requestToMeasure));
  }
  const drainTimer = setTimeout(() => void agent.destroy(), drainTimeoutMs);
  const completedOutcomes = await Promise.all(outcomes);
  clearTimeout(drainTimer);
  await agent.destroy();
  return completedOutcomes;
}

async function killHalfOfEngines(
  system: System,
  scenario: Scenario,
): Promise<void> {
  if (scenario.reclaimAtMs === undefined) {
    return;
  }
  await delay(scenario.reclaimAtMs);
  for (let index = 0; index < scenario.engines / 2; index++) {
    system.program(`engine-${index}`).signal("SIGKILL");
  }
}

async function readEngineCounts(
  system: System,
  scenario: Scenario,
): Promise<EngineCounts & { readonly idle: boolean }> {
  const counts = { preemptions: 0, finished: 0, idle: true };
  for (let index = 0; index < scenario.engines; index++) {
    const name = `engine-${index}`;
    if (system.program(name).exited) {
      continue;
    }
    const response = await request(`${system.url(name)}/v1/load`);
    const load = await response.body.json() as EngineLoad;
    counts.preemptions += load.preemptions;
    counts.finished += load.finished;
    counts.idle &&= load.running + load.waiting === 0;
  }
  return counts;
}

/** Returns the counts once all delayed load reports show idle engines. */
async function readIdleEngineCounts(
  system: System,
  scenario: Scenario,
): Promise<EngineCounts> {
  await delay(scenario.reportLagMs);
  return await eventually(
    () => readEngineCounts(system, scenario),
    ({ idle }) => idle,
  );
}

async function readWastedTokens(system: System): Promise<number> {
  await delay(settlementWaitMs);
  const { costs } = await system.operator().get("costs") as {
    costs: readonly { readonly unit: string; readonly microUnits: string }[];
  };
  return costs
    .filter(({ unit }) => unit === "recomputed" || unit === "discarded")
    .reduce((sum, { microUnits }) => sum + Number(microUnits), 0) / 1_000_000;
}

/** Wait for the settlement of the last requests before costs are read. */
const settlementWaitMs = 2_500;

interface EngineLoad extends EngineCounts {
  readonly running: number;
  readonly waiting: number;
}

function delay(milliseconds: number): Promise<void> {
  return milliseconds <= 0
    ? Promise.resolve()
    : new Promise((resolve) => setTimeout(resolve, milliseconds));
}
