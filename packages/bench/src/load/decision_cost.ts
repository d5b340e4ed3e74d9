import type { Demand, LoadReport } from "@lavenderferry/policy";
import { AdaptiveDispatcher } from "@lavenderferry/policy";
import { Random } from "@lavenderferry/runtime";

const engineCounts = [8, 80, 800];
const workspaceCounts = [10, 1_000, 43_000];
const decisions = 5_000;
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

/** Prints the processor time of a placement by engines and workspaces. */
export function runDecisionCost(): void {
  for (const engines of engineCounts) {
    for (const workspaces of workspaceCounts) {
      const cost = measureDecisions(engines, workspaces);
      console.log(
        `${engines} engines, ${workspaces} workspaces: ` +
          `${cost.toFixed(1)} us of processor time per generation`,
      );
    }
  }
}

/** Microseconds for place, sent, progressed and ended of one generation. */
function measureDecisions(engines: number, workspaces: number): number {
  const dispatcher = new AdaptiveDispatcher(1);
  const random = new Random(1);
  let now = 0;
  const at = () => ({ monotonic: now, wall: now });
  for (let index = 0; index < engines; index++) {
    const id = `engine-${index}`;
    dispatcher.addEngine({ id, dataCentre: "a", pool: "models" });
    dispatcher.report(id, idleReport, at());
  }
  const inFlight: string[] = [];
  const concurrent = Math.min(engines * runningPerEngine, decisions);
  const run = (count: number): void => {
    for (let index = 0; index < count; index++) {
      now += 1;
      const id = `${now}`;
      const demand = demandOf(id, random.below(workspaces));
      const placement = dispatcher.place(demand, at());
      if (placement.kind === "dispatch") {
        const { engine } = placement;
        dispatcher.sent({ generationId: id, engine, demand }, at());
        inFlight.push(id);
      }
      const oldest = inFlight.length > concurrent
        ? inFlight.shift()
        : undefined;
      if (oldest !== undefined) {
        dispatcher.progressed(oldest, outputTokens, at());
        dispatcher.ended(oldest, "finished", at());
      }
    }
  };
  run(concurrent + decisions);
  const before = process.cpuUsage();
  run(decisions);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / decisions;
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

function demandOf(requestId: string, workspace: number): Demand {
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
