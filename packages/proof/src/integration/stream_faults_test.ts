import type { Test } from "tap";
import t from "tap";
import { request } from "undici";
import { Caller } from "../harness/caller.ts";
import { eventually } from "../harness/eventually.ts";
import type { ReaderRequest } from "../harness/reader.ts";
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
let requestCount = 0;
t.teardown(() => system.stop());
t.before(() => system.startWithConfiguration(sampleStatement));

const engines = ["engine-0", "engine-1"] as const;

function startReader(overrides: Partial<ReaderRequest> = {}) {
  const reader = new Reader({
    key,
    urls: () =>
      ["entry-0", "entry-1"].filter((name) => !system.program(name).exited)
        .map((name) => system.url(name)),
    record: (record) => records.push(record),
  });
  const readerRequest = {
    name: `ask-${requestCount++}`,
    class: "report",
    tokens: 200,
    stream: true,
    ...overrides,
  };
  const end = reader.read(readerRequest);
  return { reader, end };
}

/** Waits until the reader is in the middle of its stream. */
async function waitUntilReading(reader: Reader): Promise<void> {
  await eventually(() => reader.tokens, (tokens) => tokens >= 20);
}

/** Returns the number of generations in progress at an entry. */
async function readGenerations(entry: string): Promise<number> {
  const response = await request(`${system.url(entry)}/metrics`);
  const line = /^lavenderferry_entry_generations (\d+)$/m;
  return Number(line.exec(await response.body.text())?.[1] ?? 0);
}

/** Waits until a stopped entry no longer advertises itself. */
async function waitUntilDraining(entry: string): Promise<void> {
  const url = system.url(entry);
  await eventually(
    () => new Caller(key).fetchAddresses(url),
    (addresses) => !addresses.includes(url),
  );
}

/** Kills every engine and starts new ones under the same names. */
async function replaceEngines(): Promise<void> {
  await Promise.all(engines.map((name) => system.program(name).kill()));
  await Promise.all(engines.map((name) => system.startEngine(name)));
}

function setEngineLinkFaults(faults: Partial<typeof healthyLink>): void {
  for (const name of engines) {
    const link = system.links.get(name);
    if (link !== undefined) {
      link.faults = { ...healthyLink, ...faults };
    }
  }
}

/** Runs a scenario, then checks the history of all scenarios so far. */
function scenario(
  name: string,
  run: (t: Test) => Promise<void>,
): void {
  t.test(name, async (t) => {
    await run(t);
    setEngineLinkFaults({});
    t.strictSame(checkHistory(records), [], "the history has no violations");
  });
}

scenario("a stream is complete after its link stalled", async (t) => {
  const { reader, end } = startReader();
  await waitUntilReading(reader);
  setEngineLinkFaults({ stalled: true });
  await new Promise((resolve) => setTimeout(resolve, 3_000));
  setEngineLinkFaults({});
  t.match(await end, { outcome: "whole", tokens: 200 });
});

scenario(
  "a stream is complete after its link was reset repeatedly",
  async (t) => {
    const { reader, end } = startReader();
    await waitUntilReading(reader);
    for (let cut = 0; cut < 3; cut++) {
      engines.forEach((name) => system.links.get(name)?.resetConnections());
      await new Promise((resolve) => setTimeout(resolve, 200));
    }
    t.match(await end, { outcome: "whole", tokens: 200 });
  },
);

scenario(
  "a stream is complete after its link failed in one direction",
  async (t) => {
    const { reader, end } = startReader();
    await waitUntilReading(reader);
    setEngineLinkFaults({ blockedDirection: "from_upstream" });
    await new Promise((resolve) => setTimeout(resolve, 3_000));
    setEngineLinkFaults({ blockedDirection: "to_upstream" });
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    setEngineLinkFaults({});
    t.match(await end, { outcome: "whole", tokens: 200 });
  },
);

scenario("a reclaimed engine completes its streams", async (t) => {
  const { reader, end } = startReader();
  await waitUntilReading(reader);
  engines.forEach((name) => system.program(name).signal("SIGTERM"));
  t.match(await end, { outcome: "whole", tokens: 200 });
  for (const name of engines) {
    t.equal(await system.program(name).waitForExit(), 0);
  }
  await Promise.all(engines.map((name) => system.startEngine(name)));
});

scenario(
  "a stream ends with generation_lost if its engine is killed",
  async (t) => {
    const { reader, end } = startReader({ tokens: 2_000 });
    await waitUntilReading(reader);
    await replaceEngines();
    t.match(await end, { outcome: "generation_lost" });
  },
);

scenario(
  "an answer without a stream is complete if its engine is killed",
  async (t) => {
    const overrides = { class: "summary", stream: false, tokens: 150 };
    const { end } = startReader(overrides);
    await new Promise((resolve) => setTimeout(resolve, 500));
    await replaceEngines();
    t.match(await end, { outcome: "whole", tokens: 150 });
  },
);

scenario("a caller can cancel only its own generation", async (t) => {
  const url = system.url("entry-0");
  const caller = new Caller(key);
  const otherCaller = new Caller(system.callerKey("portal"));
  const { requestId, eventId, readRest } = await openLongStream(url);
  const refused = await otherCaller.resume(url, eventId);
  t.equal(refused.status, 403);
  t.equal(await otherCaller.cancel(url, requestId), 404);
  t.equal(await caller.cancel(url, requestId), 200);
  t.equal(await caller.cancel(url, requestId), 404);
  const text = await readRest();
  t.match(text, "event: error");
  t.match(text, "urn:lavenderferry:error:cancelled");
  t.notMatch(text, "[DONE]");
});

function requestLongStream(url: string) {
  return request(`${url}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${key}` },
    body: JSON.stringify({
      model: "base",
      class: "report",
      stream: true,
      messages: [{ role: "user", content: "Survey [out:2000]" }],
    }),
  });
}

/** Starts a long stream, once an engine is listed, and reads its first part. */
async function openLongStream(url: string) {
  const response = await eventually(
    () => requestLongStream(url),
    ({ statusCode }) => statusCode === 200,
  );
  const chunks = response.body[Symbol.asyncIterator]();
  const { value } = await chunks.next();
  const eventId = /^id: (.+)$/m.exec(String(value))?.[1] ?? "";
  const requestId = String(response.headers["x-request-id"]);
  const readRest = async () => {
    let text = "";
    for await (const chunk of { [Symbol.asyncIterator]: () => chunks }) {
      text += String(chunk);
    }
    return text;
  };
  return { requestId, eventId, readRest };
}

scenario(
  "a stream resumed elsewhere is intact when its paused entry continues",
  async (t) => {
    const { reader, end } = startReader({ tokens: 900 });
    await waitUntilReading(reader);
    system.program("entry-0").signal("SIGSTOP");
    await eventually(() => reader.tokens, (tokens) => tokens >= 400);
    system.program("entry-0").signal("SIGCONT");
    const { outcome, tokens, reconnects } = await end;
    t.strictSame({ outcome, tokens }, { outcome: "whole", tokens: 900 });
    t.ok(reconnects >= 1);
  },
);

scenario(
  "a long stream moves to another entry at the stop deadline",
  async (t) => {
    const { reader, end } = startReader({ tokens: 600 });
    const { end: documentEnd } = startReader({
      class: "summary",
      tokens: 300,
      stream: false,
    });
    await waitUntilReading(reader);
    const entry = system.program("entry-0");
    entry.signal("SIGTERM");
    await waitUntilDraining("entry-0");
    const refused = await new Caller(key).generate(system.url("entry-0"), {
      class: "report",
      prompt: "Late",
    });
    t.match(refused.problem, { kind: "draining", notRun: true });
    t.strictSame(refused.problem?.["addresses"], [system.url("entry-1")]);
    t.match(await end, { outcome: "whole", tokens: 600 });
    t.match(await documentEnd, { outcome: "whole", tokens: 300 });
    t.equal(await entry.waitForExit(), 0);
    await system.startEntry("entry-0");
    await system.waitUntilReady();
  },
);

scenario(
  "the forced exit of an entry answers a document that is not finished",
  async (t) => {
    const answer = new Caller(key).generate(system.url("entry-0"), {
      class: "summary",
      prompt: "Survey [out:4000]",
      stream: false,
    });
    await eventually(
      () => readGenerations("entry-0"),
      (generations) => generations === 1,
    );
    const entry = system.program("entry-0");
    entry.signal("SIGTERM");
    const { problem, connectionError } = await answer;
    t.equal(connectionError, null);
    t.match(problem, { kind: "generation_lost", notRun: false });
    t.equal(await entry.waitForExit(), 0);
    await system.startEntry("entry-0");
    await system.waitUntilReady();
  },
);

scenario(
  "a stream resumes at another entry if its entry is killed",
  async (t) => {
    const { reader, end } = startReader({ tokens: 400 });
    await waitUntilReading(reader);
    await system.program("entry-0").kill();
    t.match(await end, { outcome: "whole", tokens: 400 });
    await system.startEntry("entry-0");
    await system.waitUntilReady();
  },
);

scenario("a SIGTERM after a Drain cuts no answer", async (t) => {
  const { end } = startReader({ class: "summary", tokens: 300, stream: false });
  await eventually(
    () => readGenerations("entry-0"),
    (generations) => generations === 1,
  );
  const entry = system.program("entry-0");
  const status = await eventually(
    () => system.operator().drain("entry-0"),
    (observed) => observed === 200,
  );
  t.equal(status, 200);
  await waitUntilDraining("entry-0");
  entry.signal("SIGTERM");
  t.match(await end, { outcome: "whole", tokens: 300, reconnects: 0 });
  t.equal(await entry.waitForExit(), 0);
  await system.startEntry("entry-0");
  await system.waitUntilReady();
});

scenario("a second SIGTERM stops an entry at once", async (t) => {
  const { reader, end } = startReader({ tokens: 400 });
  await waitUntilReading(reader);
  const entry = system.program("entry-0");
  entry.signal("SIGTERM");
  await waitUntilDraining("entry-0");
  entry.signal("SIGTERM");
  t.equal(await entry.waitForExit(), 0);
  t.match(await end, { outcome: "whole", tokens: 400 });
});
