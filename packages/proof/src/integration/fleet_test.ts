import { dutyNames } from "@lavenderferry/fleet";
import t from "tap";
import { request } from "undici";
import { Caller } from "../harness/caller.ts";
import { eventually } from "../harness/eventually.ts";
import { sampleStatement } from "../harness/sample_statement.ts";
import { System } from "../harness/system.ts";

const dutyCount = dutyNames(["models"]).length;

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
t.before(() => system.startWithConfiguration(sampleStatement));

async function readStatus(steward: string): Promise<Status> {
  const status = await system.operator(steward).get("status");
  return status as unknown as Status;
}

async function readAddresses(entry: string): Promise<readonly string[]> {
  const response = await request(`${system.url(entry)}/v1/addresses`);
  return (await response.body.json() as { addresses: string[] }).addresses;
}

async function readLoad(engine: string): Promise<Load> {
  const response = await request(`${system.url(engine)}/v1/load`);
  return await response.body.json() as Load;
}

async function readVersion(entry: string): Promise<number> {
  const response = await request(`${system.url(entry)}/metrics`);
  const text = await response.body.text();
  const pattern = /^lavenderferry_entry_configuration_version (\d+)/m;
  return Number(pattern.exec(text)?.[1]);
}

t.test("duties of a killed steward move to other stewards", async (t) => {
  const before = await eventually(
    () => readStatus("steward-0"),
    (status) =>
      status.duties.filter(({ holder }) => holder !== "").length === dutyCount,
  );
  const heldBefore = before.duties.filter(({ holder }) =>
    holder === "steward-2"
  );
  t.ok(heldBefore.length > 0, "steward-2 held duties");
  await system.program("steward-2").kill();
  const after = await eventually(
    () => readStatus("steward-0"),
    (status) => status.duties.every(({ holder }) => holder !== "steward-2"),
  );
  for (const { duty, fence } of heldBefore) {
    const movedDuty = after.duties.find((candidate) => candidate.duty === duty);
    t.ok((movedDuty?.fence ?? 0) > fence, `${duty} has a higher fence`);
  }
  const state = after.members.find(({ id }) => id === "steward-2")?.state;
  t.ok(state === "gone" || state === "suspected");
});

t.test("a killed entry is no longer advertised", async (t) => {
  const killedUrl = system.url("entry-2");
  await eventually(
    () => readAddresses("entry-0"),
    (addresses) => addresses.includes(killedUrl),
  );
  await system.program("entry-2").kill();
  const remaining = await eventually(
    () => readAddresses("entry-0"),
    (addresses) => !addresses.includes(killedUrl),
  );
  t.ok(remaining.includes(system.url("entry-1")));
});

t.test("engines load the models placed on their pool", async (t) => {
  const placedModels = ["base", "long"];
  await system.insertRow("placement/models", { models: placedModels });
  for (const engine of ["engine-0", "engine-1"]) {
    const { models } = await eventually(
      () => readLoad(engine),
      (load) => load.models.length === placedModels.length,
    );
    t.strictSame(models, placedModels);
  }
});

t.test("the draining state of an engine reaches every entry", async (t) => {
  const caller = new Caller(system.callerKey("clinic"));
  const generationRequest = { class: "report", prompt: "Survey [out:400]" };
  const streams = Array.from(
    { length: 6 },
    () => caller.generate(system.url("entry-0"), generationRequest),
  );
  await eventually(
    () => readLoad("engine-1"),
    ({ running }) => running > 0,
  );
  system.program("engine-1").signal("SIGTERM");
  for (const entry of ["entry-0", "entry-1"]) {
    const found = await eventually(
      () => system.operator().get("explain/engine-1"),
      ({ decisions }) =>
        (decisions as { process: string; reason: string }[]).some((decision) =>
          decision.process === entry && decision.reason === "draining"
        ),
    );
    t.ok(found, entry);
  }
  const results = await Promise.all(streams);
  for (
    const { complete, problem, connectionError, texts } of results
  ) {
    const details = JSON.stringify({
      problem,
      connectionError,
      tokens: texts.length,
    });
    t.equal(complete, true, `the stream is complete: ${details}`);
  }
});

t.test("an accepted change reaches entries while the table is down", async (t) => {
  const { status } = await system.operator().apply(sampleStatement, 1);
  t.equal(status, 200);
  await system.sendControl("faults", { down: true });
  for (const entry of ["entry-0", "entry-1"]) {
    const version = await eventually(
      () => readVersion(entry),
      (observed) => observed === 2,
    );
    t.equal(version, 2);
  }
  await system.sendControl("faults", { down: false });
});

t.test("a stopped entry is not advertised and completes its streams", async (t) => {
  const stoppedUrl = system.url("entry-1");
  const caller = new Caller(system.callerKey("clinic"));
  const generationRequest = { class: "report", prompt: "Survey [out:400]" };
  const stream = caller.generate(stoppedUrl, generationRequest);
  await eventually(() => readLoad("engine-0"), ({ running }) => running > 0);
  system.program("entry-1").signal("SIGTERM");
  const remaining = await eventually(
    () => readAddresses("entry-0"),
    (addresses) => !addresses.includes(stoppedUrl),
  );
  t.strictSame(remaining, [system.url("entry-0")]);
  const { complete } = await stream;
  t.equal(complete, true);
});
