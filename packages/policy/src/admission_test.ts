import t from "tap";
import { AdaptiveDispatcher } from "./adaptive_dispatcher.ts";
import type { Demand } from "./dispatcher.ts";
import { demandOf, reportOf } from "./testing/demand_of.ts";

const memoryTokens = 26_900;

function at(milliseconds: number) {
  return { monotonic: milliseconds, wall: milliseconds };
}

/** Reports an engine's memory in use, as measured 500 ms before. */
function report(
  dispatcher: AdaptiveDispatcher,
  engine: string,
  { usedTokens, now }: { readonly usedTokens: number; readonly now: number },
): void {
  dispatcher.engineReported(engine, {
    running: Math.round(usedTokens / 3_300),
    waiting: 0,
    memoryTokens,
    usedTokens,
    heldTokens: 0,
  }, { measuredAt: now - 500, at: at(now) });
}

/** Returns a dispatcher of two engines, which report that memory in use. */
function createDispatcher(usedTokens: number): AdaptiveDispatcher {
  const dispatcher = new AdaptiveDispatcher(1);
  for (const id of ["e0", "e1"]) {
    dispatcher.addEngine({ id, dataCentre: "a", pool: "models" });
    dispatcher.loadReported(id, reportOf({ memoryTokens }), at(0));
    report(dispatcher, id, { usedTokens, now: 1_000 });
  }
  return dispatcher;
}

function requestOf(
  requestId: string,
  firstTokenMs: number,
  change: Partial<Demand> = {},
): Demand {
  const { targets } = demandOf();
  return demandOf({
    requestId,
    promptTokens: 3_000,
    maxTokens: 800,
    targets: { ...targets, firstTokenMs, completionMs: 39_000 },
    arrivedAt: 1_000,
    ...change,
  });
}

// Where the memory of engines was unknown, nothing waited: requests were rejected
// by full engines one after another.
t.test("an urgent request is released before one that came earlier", (t) => {
  const dispatcher = createDispatcher(26_000);
  const patient = requestOf("patient", 4_000);
  const urgent = requestOf("urgent", 1_500, { arrivedAt: 1_010 });
  t.equal(dispatcher.placeAmong(patient, ["e0"], at(1_000)).kind, "wait");
  t.equal(dispatcher.placeAmong(urgent, ["e1"], at(1_010)).kind, "wait");
  t.strictSame(dispatcher.release(at(1_020)), []);
  // There is room for one of them.
  report(dispatcher, "e0", { usedTokens: 10_000, now: 1_600 });
  const [first] = dispatcher.release(at(1_600));
  t.match(first, {
    demand: { requestId: "urgent" },
    placement: { kind: "dispatch", engine: "e0" },
  });
  t.end();
});

// Callers that are told to retry at once come back to engines that are still full.
t.test("the retry delay follows the memory that has to become free", (t) => {
  const delays = [24_000, 25_500, 26_900].map((usedTokens) => {
    const dispatcher = createDispatcher(usedTokens);
    for (let index = 0; index < 5; index++) {
      const demand = requestOf(`done-${index}`, 4_000);
      const sent = { generationId: `g${index}`, engine: "e0", demand };
      dispatcher.sent(sent, at(1_000));
      dispatcher.ended(sent.generationId, "finished", at(9_000));
    }
    report(dispatcher, "e0", { usedTokens, now: 9_600 });
    report(dispatcher, "e1", { usedTokens, now: 9_600 });
    dispatcher.placeAmong(
      requestOf("late", 300, { arrivedAt: 9_600 }),
      ["e0", "e1"],
      at(9_600),
    );
    const [release] = dispatcher.release(at(9_900));
    return release?.placement.kind === "refuse"
      ? release.placement.retryAfterMs
      : 0;
  });
  const [low = 0, middle = 0, high = 0] = delays;
  t.ok(low >= 500 && low < high && middle <= high, delays.join());
  // Generations take 8 s, and a ninth of the memory has to become free.
  t.ok(high > 600 && high < 1_200, `${high} ms`);
  t.end();
});

t.test("a rejection outweighs reports that were measured before it", (t) => {
  const dispatcher = createDispatcher(10_000);
  const demand = requestOf("r", 4_000);
  const sent = { generationId: "g", engine: "e0", demand };
  dispatcher.sent(sent, at(1_010));
  dispatcher.ended("g", "refused", at(1_020));
  report(dispatcher, "e0", { usedTokens: 10_000, now: 1_300 });
  const other = requestOf("r2", 4_000);
  t.match(dispatcher.placeAmong(other, ["e0", "e1"], at(1_300)), {
    engine: "e1",
  });
  report(dispatcher, "e0", { usedTokens: 5_000, now: 1_600 });
  t.match(dispatcher.placeAmong(requestOf("r3", 4_000), ["e0"], at(1_600)), {
    engine: "e0",
  });
  t.end();
});

t.test("own work since the figures of a report counts in addition", (t) => {
  const dispatcher = createDispatcher(10_000);
  // The report of 1,600 was measured at 1,100.
  for (const [index, sentAt] of [1_050, 1_200].entries()) {
    const demand = requestOf(`r${index}`, 4_000);
    const sent = { generationId: `g${index}`, engine: "e0", demand };
    dispatcher.sent(sent, at(sentAt));
  }
  report(dispatcher, "e0", { usedTokens: 13_000, now: 1_600 });
  const placement = dispatcher.placeAmong(
    requestOf("r", 4_000),
    ["e0"],
    at(1_600),
  );
  t.match(placement, { kind: "dispatch" });
  // 13,000 of the report, 3,000 that were sent after it, and this one.
  const expected = Math.round(10_000 * 19_000 / memoryTokens) / 10_000;
  t.equal(placement.figures.memory, expected);
  t.end();
});

// An engine whose slots are taken rejects, however much memory is free.
t.test("an engine whose slots are taken gets nothing until one is free", (t) => {
  const dispatcher = new AdaptiveDispatcher(1);
  const engine = { id: "e0", dataCentre: "a", pool: "models", slots: 4 };
  dispatcher.addEngine(engine);
  dispatcher.loadReported("e0", reportOf({ memoryTokens }), at(0));
  const demand = requestOf("r", 4_000);
  report(dispatcher, "e0", { usedTokens: 4 * 3_300, now: 1_000 });
  t.equal(dispatcher.placeAmong(demand, ["e0"], at(1_000)).kind, "wait");
  report(dispatcher, "e0", { usedTokens: 3 * 3_300, now: 1_100 });
  t.match(dispatcher.release(at(1_100)), [{ placement: { engine: "e0" } }]);
  t.end();
});

// A silent engine looks empty if its last report did.
t.test("an engine without a recent report is not preferred", (t) => {
  const dispatcher = createDispatcher(3_000);
  report(dispatcher, "e1", { usedTokens: 15_000, now: 2_500 });
  const demand = requestOf("r", 4_000, { arrivedAt: 2_500 });
  t.match(dispatcher.placeAmong(demand, ["e0", "e1"], at(2_500)), {
    engine: "e1",
  });
  t.end();
});

// Engines process prompts one after another. Short requests came late because they
// were sent behind several long prompts while other engines had none.
t.test("an engine with fewer prompts to process is preferred", (t) => {
  const dispatcher = createDispatcher(10_000);
  for (const [id, unreadTokens] of [["e0", 6_000], ["e1", 0]] as const) {
    const load = {
      running: 3,
      waiting: 0,
      memoryTokens,
      usedTokens: 10_000,
      heldTokens: 0,
      unreadTokens,
    };
    const times = { measuredAt: 1_100, at: at(1_600) };
    dispatcher.engineReported(id, load, times);
  }
  for (let index = 0; index < 10; index++) {
    const demand = requestOf(`r${index}`, 1_500);
    const placement = dispatcher.placeAmong(demand, ["e0", "e1"], at(1_600));
    t.match(placement, { kind: "dispatch", engine: "e1" });
  }
  t.end();
});

// Urgent requests made engines preempt generations, whose prompts were then
// processed again, as soon as memory was short.
t.test("a placement tells whether the engine may lack memory", (t) => {
  const roomy = createDispatcher(10_000);
  const tight = createDispatcher(22_000);
  for (
    const [dispatcher, isTight] of [[roomy, false], [tight, true]] as const
  ) {
    const demand = requestOf("r", 1_500);
    const placement = dispatcher.placeAmong(demand, ["e0"], at(1_000));
    t.match(placement, { kind: "dispatch", isTight });
  }
  t.end();
});
