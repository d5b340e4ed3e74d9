import { createHash } from "node:crypto";
import type { Demand, LoadReport } from "@lavenderferry/policy";
import { AdaptiveDispatcher, chainDigests } from "@lavenderferry/policy";
import { Random } from "@lavenderferry/runtime";

/** Names the blocks of a prompt, each by all blocks up to it. */
type Naming = (blocks: readonly string[]) => readonly string[];

/** Names whose equality stands for equal beginnings; digests are in use. */
const namings: Readonly<Record<string, Naming>> = {
  texts: (blocks) => {
    let path = "";
    return blocks.map((block) => path += `/${block}`);
  },
  digests: chainDigests,
};

const blockCounts = [3, 30, 300, 3_900];

/** Milliseconds for which one figure is measured, at least. */
const measuredMs = 500;

const seed = 1;
const engineCounts = [8, 80];
const placementCount = 20_000;
const runningPerEngine = 20;

/** Documents and parts of them that prompts share. */
const documentCount = 50;
const sectionCount = 4;

const targets = {
  firstTokenMs: 1_000,
  betweenTokensMs: 55,
  stallMs: 500,
  preemptionsPerThousand: 20,
  completionMs: 30_000,
  percent: 95,
};

const report: LoadReport = {
  at: 0,
  running: 0,
  waiting: 0,
  memoryTokens: 100_000,
  usedTokens: 0,
  preemptions: 0,
  finished: 0,
  draining: false,
  models: ["m"],
};

/** Returns the mean microseconds to name the blocks of a prompt and digest them. */
function measureNaming(name: Naming, count: number): number {
  const blocks = Array.from(
    { length: count },
    (_, index) => `${index.toString(16)}:1`,
  );
  const startedAt = performance.now();
  let rounds = 0;
  let elapsedMs = 0;
  while (elapsedMs < measuredMs) {
    createHash("sha256").update(JSON.stringify(name(blocks))).digest();
    rounds += 1;
    elapsedMs = performance.now() - startedAt;
  }
  return elapsedMs / rounds * 1_000;
}

/** Returns the share of prompts that are placed where their beginning is held. */
function measureHeldShare(name: Naming, engineCount: number): number {
  const dispatcher = new AdaptiveDispatcher(seed);
  const random = new Random(seed);
  for (let index = 0; index < engineCount; index++) {
    const id = `engine-${index}`;
    dispatcher.addEngine({ id, dataCentre: "a", pool: "models" });
    dispatcher.loadReported(id, report, { monotonic: 0, wall: 0 });
  }
  const running: string[] = [];
  let held = 0;
  for (let now = 1; now <= placementCount; now++) {
    const at = { monotonic: now, wall: now };
    const document = random.integerBelow(documentCount);
    const section = random.integerBelow(sectionCount);
    const demand: Demand = {
      requestId: `${now}`,
      workspace: "w",
      workClass: "summary",
      model: "m",
      promptTokens: 100,
      maxTokens: 200,
      prefix: name([`d${document}:800`, `s${section}:400`, `r${now}:100`]),
      targets,
      arrivedAt: now,
    };
    const placement = dispatcher.place(demand, at);
    if (placement.kind === "dispatch") {
      const { engine, reason } = placement;
      held += reason === "cached_prefix" ? 1 : 0;
      dispatcher.sent({ generationId: `${now}`, engine, demand }, at);
      running.push(`${now}`);
    }
    if (running.length > runningPerEngine * engineCount) {
      dispatcher.ended(running.shift() ?? "", "finished", at);
    }
  }
  return held / placementCount;
}

for (const [naming, name] of Object.entries(namings)) {
  for (const count of blockCounts) {
    const microseconds = measureNaming(name, count).toFixed(1);
    console.log(`${naming}, ${count} blocks: ${microseconds} us a prompt`);
  }
  for (const engines of engineCounts) {
    const percent = (100 * measureHeldShare(name, engines)).toFixed(1);
    console.log(
      `${naming}, ${engines} engines: ${percent}% of ${placementCount} ` +
        `prompts on an engine that holds their beginning (seed ${seed})`,
    );
  }
}
