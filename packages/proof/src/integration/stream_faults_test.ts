import type { Test } from "tap";
import t from "tap";
import { Caller } from "../harness/caller.ts";
import { eventually } from "../harness/eventually.ts";
import type { ReaderAsk } from "../harness/reader.ts";
import { Reader } from "../harness/reader.ts";
import { sampleStatement } from "../harness/sample_statement.ts";
import { System } from "../harness/system.ts";
import { checkHistory } from "../history/check_history.ts";
import type { HistoryRecord } from "../history/history_record.ts";
import { healthyLink } from "@lavenderferry/standins";

const system = new System({
  entries: 2,
  stewards: 1,
  engines: 2,
  links: true,
  entrySettings: { stopMs: 1_000 },
});
const key = system.callerKey("clinic");
const records: HistoryRecord[] = [];
let asked = 0;
t.teardown(() => system.stop());
t.before(() => system.startWith(sampleStatement));

const engines = ["engine-0", "engine-1"] as const;

function start(change: Partial<ReaderAsk> = {}) {
  const reader = new Reader({
    key,
    urls: () =>
      ["entry-0", "entry-1"].filter((name) => !system.program(name).ended)
        .map((name) => system.url(name)),
    record: (record) => records.push(record),
  });
  const ask = {
    name: `ask-${asked++}`,
    class: "report",
    tokens: 200,
    stream: true,
    ...change,
  };
  const end = reader.read(ask);
  return { reader, end };
}

async function midway(reader: Reader): Promise<void> {
  await eventually(() => reader.tokens, (tokens) => tokens >= 20);
}

/** Waits until an entry has taken notice of its stop. */
async function untilDraining(entry: string): Promise<void> {
  const url = system.url(entry);
  await eventually(
    () => new Caller(key).addresses(url),
    (addresses) => !addresses.includes(url),
  );
}

async function replaceEngines(): Promise<void> {
  await Promise.all(engines.map((name) => system.program(name).kill()));
  await Promise.all(engines.map((name) => system.startEngine(name)));
}

function disturb(faults: Partial<typeof healthyLink>): void {
  for (const name of engines) {
    const link = system.links.get(name);
    if (link !== undefined) {
      link.faults = { ...healthyLink, ...faults };
    }
  }
}

/** Runs one scenario and checks the history up to its end. */
function scenario(
  name: string,
  run: (t: Test) => Promise<void>,
): void {
  t.test(name, async (t) => {
    await run(t);
    disturb({});
    t.strictSame(checkHistory(records), [], "the history is sound");
  });
}

scenario("a link that stalls for a while loses nothing", async (t) => {
  const { reader, end } = start();
  await midway(reader);
  disturb({ stalled: true });
  await new Promise((resolve) => setTimeout(resolve, 3_000));
  disturb({});
  t.match(await end, { outcome: "whole", tokens: 200 });
});

scenario("a link that is cut again and again loses nothing", async (t) => {
  const { reader, end } = start();
  await midway(reader);
  for (let times = 0; times < 3; times++) {
    engines.forEach((name) => system.links.get(name)?.resetAll());
    await new Promise((resolve) => setTimeout(resolve, 200));
  }
  t.match(await end, { outcome: "whole", tokens: 200 });
});

scenario("a halved link loses nothing", async (t) => {
  const { reader, end } = start();
  await midway(reader);
  disturb({ half: "from_upstream" });
  await new Promise((resolve) => setTimeout(resolve, 3_000));
  disturb({ half: "to_upstream" });
  await new Promise((resolve) => setTimeout(resolve, 1_000));
  disturb({});
  t.match(await end, { outcome: "whole", tokens: 200 });
});

scenario("a reclaimed engine finishes what it runs", async (t) => {
  const { reader, end } = start();
  await midway(reader);
  engines.forEach((name) => system.program(name).signal("SIGTERM"));
  t.match(await end, { outcome: "whole", tokens: 200 });
  for (const name of engines) {
    t.equal(await system.program(name).end(), 0);
  }
  await Promise.all(engines.map((name) => system.startEngine(name)));
});

scenario("a stream whose engine dies ends with its kind", async (t) => {
  const { reader, end } = start({ tokens: 2_000 });
  await midway(reader);
  await replaceEngines();
  t.match(await end, { outcome: "generation_lost" });
});

scenario("a whole answer survives the death of its engine", async (t) => {
  const ask = { class: "summary", stream: false, tokens: 150 };
  const { end } = start(ask);
  await new Promise((resolve) => setTimeout(resolve, 500));
  await replaceEngines();
  t.match(await end, { outcome: "whole", tokens: 150 });
});

scenario("a caller cancels its generation, and only its own", async (t) => {
  const url = system.url("entry-0");
  const caller = new Caller(key);
  const stranger = new Caller(system.callerKey("portal"));
  const ask = { class: "report", prompt: "Survey [out:2000]" };
  const { reader, end } = start({ tokens: 2_000 });
  await midway(reader);
  const first = await caller.generate(url, ask, AbortSignal.timeout(600));
  const eventId = first.eventIds.at(-1) ?? "";
  const refused = await stranger.resume(url, eventId);
  t.equal(refused.status, 403);
  t.equal(await stranger.cancel(url, first.requestId), 404);
  t.equal(await caller.cancel(url, first.requestId), 200);
  t.equal(await caller.cancel(url, first.requestId), 404);
  t.ok(reader.tokens > 0);
  await replaceEngines();
  t.match(await end, { outcome: "generation_lost" });
});

scenario("a paused entry wakes up and does no harm", async (t) => {
  const { reader, end } = start({ tokens: 900 });
  await midway(reader);
  system.program("entry-0").signal("SIGSTOP");
  await eventually(() => reader.tokens, (tokens) => tokens >= 400);
  system.program("entry-0").signal("SIGCONT");
  const { outcome, tokens, reconnects } = await end;
  t.strictSame({ outcome, tokens }, { outcome: "whole", tokens: 900 });
  t.ok(reconnects >= 1);
});

scenario("a stop deadline moves a long stream to another entry", async (t) => {
  const { reader, end } = start({ tokens: 600 });
  const { end: whole } = start({
    class: "summary",
    tokens: 300,
    stream: false,
  });
  await midway(reader);
  const entry = system.program("entry-0");
  entry.signal("SIGTERM");
  await untilDraining("entry-0");
  const refused = await new Caller(key).generate(system.url("entry-0"), {
    class: "report",
    prompt: "Late",
  });
  t.match(refused.problem, { kind: "draining", notRun: true });
  t.strictSame(refused.problem?.["addresses"], [system.url("entry-1")]);
  t.match(await end, { outcome: "whole", tokens: 600 });
  t.match(await whole, { outcome: "whole", tokens: 300 });
  t.equal(await entry.end(), 0);
  await system.startEntry("entry-0");
  await system.ready();
});

scenario("a stream survives the death of its entry", async (t) => {
  const { reader, end } = start({ tokens: 400 });
  await midway(reader);
  await system.program("entry-0").kill();
  t.match(await end, { outcome: "whole", tokens: 400 });
  await system.startEntry("entry-0");
  await system.ready();
});

scenario("a second SIGTERM ends an entry at once", async (t) => {
  const { reader, end } = start({ tokens: 400 });
  await midway(reader);
  const entry = system.program("entry-0");
  entry.signal("SIGTERM");
  await untilDraining("entry-0");
  entry.signal("SIGTERM");
  t.equal(await entry.end(), 0);
  t.match(await end, { outcome: "whole", tokens: 400 });
});
