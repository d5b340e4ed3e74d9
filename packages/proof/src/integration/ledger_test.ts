import type { Statement } from "@lavenderferry/configuration";
import t from "tap";
import type { GenerationRequest, GenerationResult } from "../harness/caller.ts";
import { Caller } from "../harness/caller.ts";
import { eventually } from "../harness/eventually.ts";
import { sampleStatement } from "../harness/sample_statement.ts";
import { System } from "../harness/system.ts";

const { report } = sampleStatement.classes;
const classNames = [
  "outage",
  "lost",
  "reader",
  "moved",
  "steward",
  "entry",
  "split",
];
const statement: Statement = {
  ...sampleStatement,
  classes: Object.fromEntries(classNames.map((name) => [
    name,
    { ...report, split: "shared" } as Statement["classes"][string],
  ])),
};

const system = new System({ entries: 3, stewards: 3, engines: 2 });
const caller = new Caller(system.callerKey("household"));
t.teardown(() => system.stop());
t.before(() => system.startWithConfiguration(statement));

const microUnitsPerUnit = 1_000_000n;

t.test("of two concurrent changes one is accepted, the other conflicts", async (t) => {
  const version = await waitForNewestVersion();
  const pendingAnswers = ["steward-0", "steward-1"].map((steward, index) => {
    const changed = withSplit({ kowalczyk: 500_000 + index });
    return system.operator(steward).apply(changed, version);
  });
  const answers = await Promise.all(pendingAnswers);
  t.strictSame(answers.map(({ status }) => status).sort(), [200, 409]);
  const body = answers.find(({ status }) => status === 409)?.body ?? {};
  t.equal(body["kind"], "conflict");
  t.equal(body["currentVersion"], version + 1);
  const [change] = body["changes"] as { entity: string; name: string }[];
  t.strictSame([change?.entity, change?.name], ["splits", "shared"]);
  const { versions } = await system.operator("steward-2").get(
    `history?after=${version}`,
  ) as { versions: { version: number; author: string }[] };
  t.strictSame(versions.map(({ version, author }) => [version, author]), [
    [version + 1, "harness"],
  ]);
});

t.test("a stream is charged in full when its split changes", async (t) => {
  const pendingTokens = runStreams("split", "entry-0");
  const version = await waitForNewestVersion();
  const change = withSplit({ kowalczyk: 0 });
  const { status } = await system.operator().apply(change, version);
  t.equal(status, 200);
  const tokens = await pendingTokens;
  const costs = await waitForCosts("split", tokens);
  t.ok((costs.get("kowalczyk") ?? 0n) > 0n, "cost from before the change");
  t.ok(
    (costs.get("torutoode") ?? 0n) > BigInt(tokens) * microUnitsPerUnit / 2n,
    "cost from after the change",
  );
});

t.test("cost is exact after an outage of the table", async (t) => {
  const pendingTokens = runStreams("outage", "entry-1");
  await system.sendControl("faults", { down: true });
  const tokens = await pendingTokens;
  await system.sendControl("faults", {});
  await waitForCosts("outage", tokens);
  t.pass("settled");
});

t.test("cost is exact when answers of the table are lost", async (t) => {
  await system.sendControl("faults", { lostAnswers: 0.5 });
  const tokens = await runStreams("lost", "entry-1");
  await waitForCosts("lost", tokens);
  await system.sendControl("faults", {});
  t.pass("settled");
});

t.test("cost is exact when a reader resumes at another entry", async (t) => {
  const generationRequest = {
    class: "reader",
    prompt: `Survey [out:${tokensPerStream}]`,
  };
  const first = await caller.generate(
    system.url("entry-0"),
    generationRequest,
    AbortSignal.timeout(700),
  );
  t.equal(first.complete, false);
  const lastEventId = first.eventIds.at(-1) ?? "";
  const second = await caller.resume(system.url("entry-1"), lastEventId);
  t.equal(second.complete, true);
  t.equal(first.texts.length + second.texts.length, tokensPerStream);
  await waitForCosts("reader", tokensPerStream);
});

t.test("cost is exact when streams resume after their entry is killed", async (t) => {
  const generationRequest = {
    class: "moved",
    prompt: `Survey [out:${tokensPerLongStream}]`,
  };
  const pendingResults = startStreams(generationRequest, "entry-0");
  await new Promise((resolve) => setTimeout(resolve, 2_500));
  await system.program("entry-0").kill();
  const cutResults = await pendingResults;
  t.ok(
    cutResults.every(({ complete }) => !complete),
    "every stream was cut",
  );
  const resumedResults = await Promise.all(
    cutResults.map(({ eventIds }) =>
      caller.resume(system.url("entry-1"), eventIds.at(-1) ?? "")
    ),
  );
  const tokens = countDelivered(resumedResults) +
    cutResults.reduce((sum, { texts }) => sum + texts.length, 0);
  t.equal(tokens, streamCount * tokensPerLongStream);
  await waitForCosts("moved", tokens);
});

t.test("cost is exact when stewards are killed", async (t) => {
  const pendingTokens = runStreams("steward", "entry-2");
  await system.program("steward-0").kill();
  const tokens = await pendingTokens;
  await system.program("steward-1").kill();
  await waitForCosts("steward", tokens, "steward-2");
  t.pass("settled");
});

t.test("cost is kept when the entry that incurred it is killed", async (t) => {
  await system.sendControl("faults", { down: true });
  const tokens = await runStreams("entry", "entry-2");
  // Flushes are 1 s apart. After two of them stewards hold the cost.
  await new Promise((resolve) => setTimeout(resolve, 3_000));
  await system.program("entry-2").kill();
  await system.sendControl("faults", {});
  await waitForCosts("entry", tokens, "steward-2");
  t.pass("settled");
});

const streamCount = 6;
const tokensPerStream = 150;
const tokensPerLongStream = 400;

/** Runs streams concurrently and returns the number of tokens delivered. */
async function runStreams(className: string, entry: string): Promise<number> {
  const generationRequest = {
    class: className,
    prompt: `Survey [out:${tokensPerStream}]`,
  };
  return countDelivered(await startStreams(generationRequest, entry));
}

async function startStreams(
  generationRequest: GenerationRequest,
  entry: string,
): Promise<readonly GenerationResult[]> {
  return await Promise.all(
    Array.from(
      { length: streamCount },
      () => caller.generate(system.url(entry), generationRequest),
    ),
  );
}

function countDelivered(results: readonly GenerationResult[]): number {
  if (!results.every(({ complete }) => complete)) {
    throw new Error(`A stream is incomplete: ${JSON.stringify(results)}`);
  }
  return results.reduce((sum, { texts }) => sum + texts.length, 0);
}

/**
 * Waits until the cost of the tokens is settled. Throws if more is settled
 * within the next 2 s, as when a batch is charged twice.
 */
async function waitForCosts(
  className: string,
  tokens: number,
  steward = "steward-2",
): Promise<ReadonlyMap<string, bigint>> {
  const expectedCost = BigInt(tokens) * microUnitsPerUnit;
  await eventually(
    () => readCosts(className, steward),
    (costs) => totalOf(costs) >= expectedCost,
  );
  await new Promise((resolve) => setTimeout(resolve, 2_000));
  const costs = await readCosts(className, steward);
  if (totalOf(costs) !== expectedCost) {
    throw new Error(
      `Settled cost ${totalOf(costs)} differs from expected ${expectedCost}`,
    );
  }
  return costs;
}

async function readCosts(
  className: string,
  steward: string,
): Promise<ReadonlyMap<string, bigint>> {
  const { costs = [] } = await system.operator(steward).get("costs") as {
    costs?: CostLine[];
  };
  const sums = new Map<string, bigint>();
  for (const { partner, workClass, unit, microUnits } of costs) {
    if (workClass === className && unit === "output") {
      sums.set(partner, (sums.get(partner) ?? 0n) + BigInt(microUnits));
    }
  }
  return sums;
}

function totalOf(costs: ReadonlyMap<string, bigint>): bigint {
  return [...costs.values()].reduce((sum, microUnits) => sum + microUnits, 0n);
}

/** Waits until the newest version in the table is in force; returns it. */
async function waitForNewestVersion(): Promise<number> {
  const operator = system.operator("steward-2");
  const { to } = await operator.get("diff");
  await eventually(
    () => operator.get("status"),
    ({ inForce }) => (inForce as { version: number }).version === to,
  );
  return Number(to);
}

function withSplit({ kowalczyk }: { kowalczyk: number }): Statement {
  const shared = { parts: { kowalczyk, torutoode: 1_000_000 - kowalczyk } };
  return { ...statement, splits: { ...statement.splits, shared } };
}

interface CostLine {
  readonly partner: string;
  readonly workClass: string;
  readonly unit: string;
  readonly microUnits: string;
}
