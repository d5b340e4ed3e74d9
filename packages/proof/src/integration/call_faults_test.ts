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
t.before(() => system.startWithConfiguration(sampleStatement));

function book(entry: string, key: string) {
  const body = { slot: `slot-${key}`, by: "anna" };
  const options = { class: "booking", key, body };
  return caller.call(system.url(entry), "booking/bookings", options);
}

/**
 * Counts the runs of a booking at all services. The platform records them, so
 * the runs of a killed service count too.
 */
async function countRuns(key: string): Promise<number> {
  const slots = await readBookedSlots();
  return slots.filter((slot) => slot === `slot-${key}`).length;
}

async function readBookedSlots(): Promise<readonly string[]> {
  const response = await request(
    `${system.platformUrl}/control/runs?pool=booking`,
  );
  const body = await response.body.json() as { runs: { slot: string }[] };
  return body.runs.map(({ slot }) => slot);
}

function setServiceLinkFaults(faults: Partial<typeof healthyLink>): void {
  for (const name of services) {
    const link = system.links.get(name);
    if (link !== undefined) {
      link.faults = { ...healthyLink, ...faults };
    }
  }
}

function isBooked(result: { status: number }): boolean {
  return result.status === 201;
}

t.test("a booking is refused as not run while the store is down", async (t) => {
  await system.sendControl("faults", { down: true });
  const refused = await book("entry-0", "down");
  t.match(refused.body, { kind: "store_unavailable", notRun: true });
  t.equal(await countRuns("down"), 0);
  const slotAnswer = await caller.call(
    system.url("entry-0"),
    "booking/slots/slot-down",
    { class: "booking" },
  );
  t.equal(slotAnswer.status, 200, "the status of a slot is served");
  await system.sendControl("faults", {});
  await eventually(() => book("entry-1", "down"), isBooked);
  t.equal(await countRuns("down"), 1);
});

t.test("a booking runs once although answers of the store are lost", async (t) => {
  await system.sendControl("faults", { lostAnswers: 0.7 });
  const keys = Array.from({ length: 8 }, (_, index) => `lost-${index}`);
  const results = await Promise.all(keys.map((key) => book("entry-0", key)));
  await system.sendControl("faults", {});
  for (const [index, key] of keys.entries()) {
    const refused = results[index]?.body["notRun"] === true;
    t.equal(await countRuns(key), refused ? 0 : 1, key);
    const secondAnswer = await eventually(() => book("entry-1", key), isBooked);
    t.equal(secondAnswer.replayed, !refused, key);
    t.equal(await countRuns(key), 1, key);
  }
});

t.test("a booking is refused as not run if the store sends no answers", async (t) => {
  const link = system.links.get("platform");
  if (link !== undefined) {
    link.faults = { ...healthyLink, blockedDirection: "from_upstream" };
  }
  const refused = await book("entry-0", "halved");
  t.match(refused.body, { kind: "store_unavailable", notRun: true });
  if (link !== undefined) {
    link.faults = healthyLink;
  }
  t.equal(await countRuns("halved"), 0);
  await eventually(() => book("entry-1", "halved"), isBooked);
  t.equal(await countRuns("halved"), 1);
});

t.test("a booking is not run again after its answer was cut", async (t) => {
  setServiceLinkFaults({ resetAfterBytes: 40 });
  const cutAnswer = await book("entry-0", "cut");
  setServiceLinkFaults({});
  t.match(cutAnswer.body, { kind: "upstream_lost", notRun: "unknown" });
  const secondAnswer = await eventually(
    () => book("entry-1", "cut"),
    ({ body }) => body["kind"] !== "key_in_progress",
  );
  t.match(secondAnswer.body, { kind: "key_unresolved", notRun: "unknown" });
  t.equal(await countRuns("cut"), 1);
});

t.test("a key that is reused with another body is refused", async (t) => {
  await eventually(() => book("entry-0", "body"), isBooked);
  const otherAnswer = await caller.call(
    system.url("entry-1"),
    "booking/bookings",
    { class: "booking", key: "body", body: { slot: "slot-body", by: "ewa" } },
  );
  t.match(otherAnswer.body, { kind: "key_reused", notRun: true });
  t.equal(await countRuns("body"), 1);
});

t.test("a booking sent to two entries at the same time runs once", async (t) => {
  const results = await Promise.all(
    ["entry-0", "entry-1", "entry-0"].map((entry) => book(entry, "raced")),
  );
  t.equal(results.filter(isBooked).length >= 1, true);
  t.equal(await countRuns("raced"), 1);
});

t.test("answers of a service that shuts down agree with its runs", async (t) => {
  setServiceLinkFaults({ stalled: true });
  const keys = Array.from({ length: 8 }, (_, index) => `leaving-${index}`);
  const pendingAnswers = keys.map((key) => book("entry-0", key));
  const service = system.program("service-0");
  service.signal("SIGTERM");
  setServiceLinkFaults({});
  const results = await Promise.all(pendingAnswers);
  await service.waitForExit();
  await system.startService("service-0", "booking");
  for (const [index, key] of keys.entries()) {
    const firstAnswer = results[index];
    const secondAnswer = await book("entry-1", key);
    const isCertain = firstAnswer?.body["notRun"] !== "unknown";
    const runCount = await countRuns(key);
    t.ok(isCertain ? runCount === 1 : runCount <= 1, key);
    t.equal(secondAnswer.status, isCertain ? 201 : 409, key);
  }
});

t.test("a booking has no known outcome if its entry is killed after dispatch", async (t) => {
  setServiceLinkFaults({ blockedDirection: "from_upstream" });
  const pendingAnswer = book("entry-0", "died").catch(() => null);
  await eventually(() => countRuns("died"), (runCount) => runCount === 1);
  await system.program("entry-0").kill();
  t.equal(await pendingAnswer, null);
  setServiceLinkFaults({});
  const secondAnswer = await book("entry-1", "died");
  t.match(secondAnswer.body, { kind: "key_in_progress", notRun: "unknown" });
  t.equal(await countRuns("died"), 1);
});

// The entry is paused while the slow store has not answered yet, so it resumes
// after another entry has received the same booking.
t.test("a paused entry runs a booking at most once", async (t) => {
  await system.startEntry("entry-0");
  await system.waitUntilReady();
  await system.sendControl("faults", { delayMs: 1_000 });
  const pendingAnswer = book("entry-0", "paused");
  await new Promise((resolve) => setTimeout(resolve, 300));
  system.program("entry-0").signal("SIGSTOP");
  await new Promise((resolve) => setTimeout(resolve, 4_000));
  await system.sendControl("faults", {});
  const otherAnswer = await book("entry-1", "paused");
  system.program("entry-0").signal("SIGCONT");
  const pausedAnswer = await pendingAnswer;
  const runCount = await countRuns("paused");
  t.ok(runCount <= 1);
  t.ok([pausedAnswer, otherAnswer].filter(isBooked).length <= runCount);
  await eventually(
    () => book("entry-1", "paused"),
    ({ body }) => body["kind"] !== "key_in_progress",
    60_000,
  );
  t.ok(await countRuns("paused") <= 1);
});
