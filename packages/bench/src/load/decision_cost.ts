import type { Demand, LoadReport } from "@lavenderferry/policy";
import { AdaptiveDispatcher } from "@lavenderferry/policy";
import { Random } from "@lavenderferry/runtime";

const engineCounts = [8, 80, 800];
const workspaceCounts = [10, 1_000, 43_000];
const decisionCount = 5_000;
const runningPerEngine = 20;
const outputTokens = 40;

const targets = {
  firstTokenMs: 1_000,
  betweenTokensMs: 55,
  stallMs: 500,
  preemptionsPerThousand: 20,
  completionMs: 30_000,
  percent: 95,
};

/**
 * Prints the processor time that the adaptive dispatcher spends on one
 * generation, for each number of engines and of workspaces.
 */
export function reportDecisionCost(): void {
  for (const engines of engineCounts) {
    for (const workspaces of workspaceCounts) {
      const microseconds = measureDecisions(engines, workspaces);
      console.log(
        `${engines} engines, ${workspaces} workspaces: ` +
          `${microseconds.toFixed(1)} us of processor time per generation`,
      );
    }
  }
}

/**
 * Returns the mean processor time in microseconds of all dispatcher calls for
 * one generation: placing, sending, progress and end. Measures at a constant
 * number of generations in flight.
 */
function measureDecisions(engines: number, workspaces: number): number {
  const dispatcher = new AdaptiveDispatcher(1);
  const random = new Random(1);
  let now = 0;
  const moment = () => ({ monotonic: now, wall: now });
  for (let index = 0; index < engines; index++) {
    const id = `engine-${index}`;
    dispatcher.addEngine({ id, dataCentre: "a", pool: "models" });
    dispatcher.loadReported(id, idleReport, moment());
  }
  const inFlight: string[] = [];
  const maxInFlight = Math.min(engines * runningPerEngine, decisionCount);
  const runGenerations = (count: number): void => {
    for (let index = 0; index < count; index++) {
      now += 1;
      const id = `${now}`;
      const demand = createDemand(id, random.integerBelow(workspaces));
      const placement = dispatcher.place(demand, moment());
      if (placement.kind === "dispatch") {
        const { engine } = placement;
        dispatcher.sent({ generationId: id, engine, demand }, moment());
        inFlight.push(id);
      }
      const oldest = inFlight.length > maxInFlight
        ? inFlight.shift()
        : undefined;
      if (oldest !== undefined) {
        dispatcher.progressed(oldest, outputTokens, moment());
        dispatcher.ended(oldest, "finished", moment());
      }
    }
  };
  runGenerations(maxInFlight + decisionCount);
  const before = process.cpuUsage();
  runGenerations(decisionCount);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / decisionCount;
}

const idleReport: LoadReport = {
  at: 0,
  running: 0,
  waiting: 0,
  memoryTokens: 100_000,
  usedTokens: 0,
  preemptions: 0,
  finished: 0,
  draining: false,
  models: ["base"],
};

/** Creates a demand whose request id is its arrival time in milliseconds. */
function createDemand(requestId: string, workspace: number): Demand {
  return {
    requestId,
    workspace: `workspace-${workspace}`,
    workClass: "summary",
    model: "base",
    promptTokens: 100,
    maxTokens: 4_096,
    prefix: [],
    targets,
    arrivedAt: Number(requestId),
  };
}
