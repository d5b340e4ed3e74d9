import { dutyNames } from "@lavenderferry/fleet";
import t from "tap";
import { request } from "undici";
import { Caller } from "../harness/caller.ts";
import { eventually } from "../harness/eventually.ts";
import { sampleStatement } from "../harness/sample_statement.ts";
import { System } from "../harness/system.ts";

const duties = dutyNames(["models"]).length;

interface Status {
  readonly version: number;
  readonly members: readonly { readonly id: string; readonly state: string }[];
  readonly duties: readonly {
    readonly duty: string;
    readonly holder: string;
    readonly fence: number;
  }[];
}

interface Load {
  readonly running: number;
  readonly models: readonly string[];
}

const system = new System({
  entries: 3,
  stewards: 3,
  engines: 2,
  entrySettings: { policy: "round_robin" },
});
t.teardown(() => system.stop());
t.before(() => system.startWith(sampleStatement));

async function statusOf(steward: string): Promise<Status> {
  const status = await system.operator(steward).get("status");
  return status as unknown as Status;
}

async function addressesOf(entry: string): Promise<readonly string[]> {
  const response = await request(`${system.url(entry)}/v1/addresses`);
  return (await response.body.json() as { addresses: string[] }).addresses;
}

async function loadOf(engine: string): Promise<Load> {
  const response = await request(`${system.url(engine)}/v1/load`);
  return await response.body.json() as Load;
}

async function versionOf(entry: string): Promise<number> {
  const response = await request(`${system.url(entry)}/metrics`);
  const text = await response.body.text();
  const pattern = /^lavenderferry_entry_configuration_version (\d+)/m;
  return Number(pattern.exec(text)?.[1]);
}

t.test("a killed steward's duties move to the others", async (t) => {
  const before = await eventually(
    () => statusOf("steward-0"),
    (status) =>
      status.duties.filter(({ holder }) => holder !== "").length === duties,
  );
  const former = before.duties.filter(({ holder }) => holder === "steward-2");
  t.ok(former.length > 0, "steward-2 held some");
  await system.program("steward-2").kill();
  const after = await eventually(
    () => statusOf("steward-0"),
    (status) => status.duties.every(({ holder }) => holder !== "steward-2"),
  );
  for (const { duty, fence } of former) {
    const next = after.duties.find((each) => each.duty === duty);
    t.ok((next?.fence ?? 0) > fence, `${duty} has a higher fence`);
  }
  const state = after.members.find(({ id }) => id === "steward-2")?.state;
  t.ok(state === "gone" || state === "suspected");
});

t.test("callers are not sent to a killed entry", async (t) => {
  const killed = system.url("entry-2");
  await eventually(
    () => addressesOf("entry-0"),
    (addresses) => addresses.includes(killed),
  );
  await system.program("entry-2").kill();
  const left = await eventually(
    () => addressesOf("entry-0"),
    (addresses) => !addresses.includes(killed),
  );
  t.ok(left.includes(system.url("entry-1")));
});

t.test("a pool's holder orders its engines, once it may", async (t) => {
  const wanted = ["base", "long"];
  await system.write("placement/models", { models: wanted });
  for (const engine of ["engine-0", "engine-1"]) {
    const { models } = await eventually(
      () => loadOf(engine),
      (load) => load.models.length === wanted.length,
    );
    t.strictSame(models, wanted);
  }
});

t.test("a draining engine is marked at every entry", async (t) => {
  const caller = new Caller(system.callerKey("clinic"));
  const ask = { class: "report", prompt: "Survey [out:400]" };
  const streams = Array.from(
    { length: 6 },
    () => caller.generate(system.url("entry-0"), ask),
  );
  await eventually(
    () => loadOf("engine-1"),
    ({ running }) => running > 0,
  );
  system.program("engine-1").signal("SIGTERM");
  for (const entry of ["entry-0", "entry-1"]) {
    const found = await eventually(
      () => system.operator().get("explain/engine-1"),
      ({ decisions }) =>
        (decisions as { process: string; reason: string }[]).some((each) =>
          each.process === entry && each.reason === "draining"
        ),
    );
    t.ok(found, entry);
  }
  const results = await Promise.all(streams);
  for (const { whole, problem, broken, texts } of results) {
    const seen = JSON.stringify({ problem, broken, tokens: texts.length });
    t.equal(whole, true, `what ran there ends whole: ${seen}`);
  }
});

t.test("an accepted change arrives though the table is down", async (t) => {
  const { status } = await system.operator().apply(sampleStatement, 1);
  t.equal(status, 200);
  await system.control("faults", { down: true });
  for (const entry of ["entry-0", "entry-1"]) {
    const version = await eventually(
      () => versionOf(entry),
      (known) => known === 2,
    );
    t.equal(version, 2);
  }
  await system.control("faults", { down: false });
});

t.test("callers are not sent to a leaving entry, which ends its work", async (t) => {
  const leaving = system.url("entry-1");
  const caller = new Caller(system.callerKey("clinic"));
  const ask = { class: "report", prompt: "Survey [out:400]" };
  const stream = caller.generate(leaving, ask);
  await eventually(() => loadOf("engine-0"), ({ running }) => running > 0);
  system.program("entry-1").signal("SIGTERM");
  const left = await eventually(
    () => addressesOf("entry-0"),
    (addresses) => !addresses.includes(leaving),
  );
  t.strictSame(left, [system.url("entry-0")]);
  const { whole } = await stream;
  t.equal(whole, true);
});
