import type { Statement } from "@lavenderferry/configuration";
import t from "tap";
import type { Ask, StreamResult } from "../harness/caller.ts";
import { Caller } from "../harness/caller.ts";
import { eventually } from "../harness/eventually.ts";
import { sampleStatement } from "../harness/sample_statement.ts";
import { System } from "../harness/system.ts";

const { report } = sampleStatement.classes;
const classNames = ["outage", "lost", "moved", "steward", "entry", "split"];
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
t.before(() => system.startWith(statement));

const microUnitsPerUnit = 1_000_000n;

t.test("one of two racing operators wins, the other sees why", async (t) => {
  const version = await currentVersion();
  const rivals = ["steward-0", "steward-1"].map((steward, index) => {
    const changed = withSplit({ kowalczyk: 500_000 + index });
    return system.operator(steward).apply(changed, version);
  });
  const answers = await Promise.all(rivals);
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

t.test("a stream over a change of the split is charged whole", async (t) => {
  const running = runStreams("split", "entry-0");
  const version = await currentVersion();
  const change = withSplit({ kowalczyk: 0 });
  const { status } = await system.operator().apply(change, version);
  t.equal(status, 200);
  const tokens = await running;
  const costs = await settledCosts("split", tokens);
  t.ok((costs.get("kowalczyk") ?? 0n) > 0n, "cost from before the change");
  t.ok(
    (costs.get("torutoode") ?? 0n) > BigInt(tokens) * microUnitsPerUnit / 2n,
    "cost from after the change",
  );
});

t.test("cost is exact over an outage of the table", async (t) => {
  const running = runStreams("outage", "entry-1");
  await system.control("faults", { down: true });
  const tokens = await running;
  await system.control("faults", {});
  await settledCosts("outage", tokens);
  t.pass("settled");
});

t.test("cost is exact over lost answers of the table", async (t) => {
  await system.control("faults", { lostAnswers: 0.5 });
  const tokens = await runStreams("lost", "entry-1");
  await settledCosts("lost", tokens);
  await system.control("faults", {});
  t.pass("settled");
});

t.test("cost is exact over a stream that outlives its entry", async (t) => {
  const ask = { class: "moved", prompt: `Survey [out:${longTokens}]` };
  const running = startStreams(ask, "entry-0");
  await new Promise((resolve) => setTimeout(resolve, 2_500));
  await system.program("entry-0").kill();
  const firsts = await running;
  t.ok(firsts.every(({ whole }) => !whole), "every stream was cut");
  const seconds = await Promise.all(
    firsts.map(({ eventIds }) =>
      caller.resume(system.url("entry-1"), eventIds.at(-1) ?? "")
    ),
  );
  const tokens = deliveredOf(seconds) +
    firsts.reduce((sum, { texts }) => sum + texts.length, 0);
  t.equal(tokens, streams * longTokens);
  await settledCosts("moved", tokens);
});

t.test("cost is exact over the death of stewards", async (t) => {
  const running = runStreams("steward", "entry-2");
  await system.program("steward-0").kill();
  const tokens = await running;
  await system.program("steward-1").kill();
  await settledCosts("steward", tokens, "steward-2");
  t.pass("settled");
});

t.test("cost outlives the entry that it arose at", async (t) => {
  await system.control("faults", { down: true });
  const tokens = await runStreams("entry", "entry-2");
  // Two flushes of a second each, so that stewards hold what arose.
  await new Promise((resolve) => setTimeout(resolve, 3_000));
  await system.program("entry-2").kill();
  await system.control("faults", {});
  await settledCosts("entry", tokens, "steward-2");
  t.pass("settled");
});

const streams = 6;
const tokensPerStream = 150;
const longTokens = 400;

/** Runs streams at once and returns how many tokens were delivered. */
async function runStreams(name: string, entry: string): Promise<number> {
  const ask = { class: name, prompt: `Survey [out:${tokensPerStream}]` };
  return deliveredOf(await startStreams(ask, entry));
}

async function startStreams(
  ask: Ask,
  entry: string,
): Promise<readonly StreamResult[]> {
  return await Promise.all(
    Array.from(
      { length: streams },
      () => caller.generate(system.url(entry), ask),
    ),
  );
}

function deliveredOf(results: readonly StreamResult[]): number {
  if (!results.every(({ whole }) => whole)) {
    throw new Error(`A stream is not whole: ${JSON.stringify(results)}`);
  }
  return results.reduce((sum, { texts }) => sum + texts.length, 0);
}

/** Waits until the cost of the tokens has settled, and not a token more. */
async function settledCosts(
  name: string,
  tokens: number,
  steward = "steward-2",
): Promise<ReadonlyMap<string, bigint>> {
  const wanted = BigInt(tokens) * microUnitsPerUnit;
  await eventually(
    () => costsOf(name, steward),
    (costs) => sumOf(costs) >= wanted,
  );
  await new Promise((resolve) => setTimeout(resolve, 2_000));
  const costs = await costsOf(name, steward);
  if (sumOf(costs) !== wanted) {
    throw new Error(`Cost ${sumOf(costs)} differs from ${wanted}`);
  }
  return costs;
}

async function costsOf(
  name: string,
  steward: string,
): Promise<ReadonlyMap<string, bigint>> {
  const { costs = [] } = await system.operator(steward).get("costs") as {
    costs?: CostLine[];
  };
  const sums = new Map<string, bigint>();
  for (const { partner, workClass, unit, microUnits } of costs) {
    if (workClass === name && unit === "output") {
      sums.set(partner, (sums.get(partner) ?? 0n) + BigInt(microUnits));
    }
  }
  return sums;
}

function sumOf(costs: ReadonlyMap<string, bigint>): bigint {
  return [...costs.values()].reduce((sum, each) => sum + each, 0n);
}

/** Waits until the newest version of the table is in force. */
async function currentVersion(): Promise<number> {
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
