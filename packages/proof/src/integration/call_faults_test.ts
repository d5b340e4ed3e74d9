import { healthyLink } from "@lavenderferry/standins";
import t from "tap";
import { request } from "undici";
import { Caller } from "../harness/caller.ts";
import { eventually } from "../harness/eventually.ts";
import { sampleStatement } from "../harness/sample_statement.ts";
import { System } from "../harness/system.ts";

const system = new System({
  entries: 2,
  stewards: 1,
  engines: 0,
  links: true,
});
const caller = new Caller(system.callerKey("portal"));
const services = ["service-0", "service-1"] as const;
t.teardown(() => system.stop());
t.before(() => system.startWith(sampleStatement));

function book(entry: string, key: string) {
  const body = { slot: `slot-${key}`, by: "anna" };
  const options = { class: "booking", key, body };
  return caller.call(system.url(entry), "booking/bookings", options);
}

async function runsOf(key: string): Promise<number> {
  const counts = await Promise.all(services.map(async (name) => {
    const response = await request(`${system.url(name)}/runs`);
    const { runs } = await response.body.json() as { runs: { slot: string }[] };
    return runs.filter(({ slot }) => slot === `slot-${key}`).length;
  }));
  return counts.reduce((sum, each) => sum + each, 0);
}

function disturbServices(faults: Partial<typeof healthyLink>): void {
  for (const name of services) {
    const link = system.links.get(name);
    if (link !== undefined) {
      link.faults = { ...healthyLink, ...faults };
    }
  }
}

function booked(result: { status: number }): boolean {
  return result.status === 201;
}

t.test("a store that is down refuses a booking as not run", async (t) => {
  await system.control("faults", { down: true });
  const refused = await book("entry-0", "down");
  t.match(refused.body, { kind: "store_unavailable", notRun: true });
  t.equal(await runsOf("down"), 0);
  const status = await caller.call(
    system.url("entry-0"),
    "booking/slots/slot-down",
    { class: "booking" },
  );
  t.equal(status.status, 200, "slot status is read meanwhile");
  await system.control("faults", {});
  await eventually(() => book("entry-1", "down"), booked);
  t.equal(await runsOf("down"), 1);
});

t.test("lost answers of the store lead to one run", async (t) => {
  await system.control("faults", { lostAnswers: 0.7 });
  const keys = Array.from({ length: 8 }, (_, index) => `lost-${index}`);
  const results = await Promise.all(keys.map((key) => book("entry-0", key)));
  await system.control("faults", {});
  for (const [index, key] of keys.entries()) {
    const refused = results[index]?.body["notRun"] === true;
    t.equal(await runsOf(key), refused ? 0 : 1, key);
    const again = await eventually(() => book("entry-1", key), booked);
    t.equal(again.replayed, !refused, key);
    t.equal(await runsOf(key), 1, key);
  }
});

t.test("a store that lost contact refuses as not run", async (t) => {
  const link = system.links.get("platform");
  if (link !== undefined) {
    link.faults = { ...healthyLink, half: "from_upstream" };
  }
  const refused = await book("entry-0", "halved");
  t.match(refused.body, { kind: "store_unavailable", notRun: true });
  if (link !== undefined) {
    link.faults = healthyLink;
  }
  t.equal(await runsOf("halved"), 0);
  await eventually(() => book("entry-1", "halved"), booked);
  t.equal(await runsOf("halved"), 1);
});

t.test("an answer cut in the middle is unknown and not repeated", async (t) => {
  disturbServices({ cutAfterBytes: 40 });
  const cut = await book("entry-0", "cut");
  disturbServices({});
  t.match(cut.body, { kind: "upstream_lost", notRun: "unknown" });
  const again = await eventually(
    () => book("entry-1", "cut"),
    ({ body }) => body["kind"] !== "key_in_progress",
  );
  t.match(again.body, { kind: "key_unresolved", notRun: "unknown" });
  t.equal(await runsOf("cut"), 1);
});

t.test("the same key with another body is refused", async (t) => {
  await eventually(() => book("entry-0", "body"), booked);
  const other = await caller.call(
    system.url("entry-1"),
    "booking/bookings",
    { class: "booking", key: "body", body: { slot: "slot-body", by: "ewa" } },
  );
  t.match(other.body, { kind: "key_reused", notRun: true });
  t.equal(await runsOf("body"), 1);
});

t.test("two entries asked at once run a booking once", async (t) => {
  const results = await Promise.all(
    ["entry-0", "entry-1", "entry-0"].map((entry) => book(entry, "raced")),
  );
  t.equal(results.filter(booked).length >= 1, true);
  t.equal(await runsOf("raced"), 1);
});

t.test("a service that leaves refuses as not run, another runs", async (t) => {
  disturbServices({ stalled: true });
  const pending = book("entry-0", "leaving");
  const service = system.program("service-0");
  service.signal("SIGTERM");
  disturbServices({});
  t.equal((await pending).status, 201);
  await service.end();
  await system.startService("service-0", "booking");
});

t.test("an entry that dies after dispatch leaves it unresolved", async (t) => {
  disturbServices({ half: "from_upstream" });
  const pending = book("entry-0", "died").catch(() => null);
  await eventually(() => runsOf("died"), (runs) => runs === 1);
  await system.program("entry-0").kill();
  t.equal(await pending, null);
  disturbServices({});
  const again = await book("entry-1", "died");
  t.match(again.body, { kind: "key_in_progress", notRun: "unknown" });
  t.equal(await runsOf("died"), 1);
});

t.test("a paused entry runs a booking at most once", async (t) => {
  await system.startEntry("entry-0");
  await system.ready();
  await system.control("faults", { delayMs: 1_000 });
  const pending = book("entry-0", "paused");
  await new Promise((resolve) => setTimeout(resolve, 300));
  system.program("entry-0").signal("SIGSTOP");
  await new Promise((resolve) => setTimeout(resolve, 4_000));
  await system.control("faults", {});
  const other = await book("entry-1", "paused");
  system.program("entry-0").signal("SIGCONT");
  const first = await pending;
  const runs = await runsOf("paused");
  t.ok(runs <= 1);
  t.ok([first, other].filter(booked).length <= runs);
  await eventually(
    () => book("entry-1", "paused"),
    ({ body }) => body["kind"] !== "key_in_progress",
    60_000,
  );
  t.ok(await runsOf("paused") <= 1);
});
