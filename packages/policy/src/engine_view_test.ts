import t from "tap";
import { EngineView } from "./engine_view.ts";
import { priorTail } from "./length_distribution.ts";
import { demandOf, reportOf } from "./testing/demand_of.ts";

function at(milliseconds: number) {
  return { monotonic: milliseconds, wall: milliseconds };
}

function flight(promptTokens: number) {
  const demand = demandOf({ promptTokens });
  const now = { sentAt: 0, tokensOut: 0, progressedAt: 0 };
  return { demand, tail: priorTail, ...now };
}

t.test("work sent after the report's time is added", (t) => {
  const view = new EngineView();
  view.take(reportOf({ at: 100, running: 2, usedTokens: 300 }), at(100));
  view.start("g-1", flight(50), at(200));
  t.equal(view.running, 3);
  t.equal(view.forecast(at(200)).mean[0], 350);
  t.end();
});

t.test("own work in a report is not counted twice", (t) => {
  const view = new EngineView();
  view.start("g-1", flight(50), at(100));
  const report = reportOf({ at: 400, running: 3, usedTokens: 350 });
  view.take(report, at(900));
  t.equal(view.running, 3);
  t.equal(view.forecast(at(900)).mean[0], 350);
  t.end();
});

t.test("own work that ended since the report is taken off", (t) => {
  const view = new EngineView();
  view.start("g-1", flight(50), at(100));
  view.end("g-1", at(500));
  view.take(reportOf({ at: 400, running: 1, usedTokens: 50 }), at(900));
  t.equal(view.running, 0);
  t.equal(view.forecast(at(900)).mean[0], 0);
  t.end();
});

t.test("others' work is taken to grow like the own", (t) => {
  const view = new EngineView();
  ["g-1", "g-2", "g-3"].forEach((id) => view.start(id, flight(50), at(0)));
  const before = view.forecast(at(50)).mean;
  view.take(reportOf({ at: 100, running: 6, usedTokens: 300 }), at(600));
  const after = view.forecast(at(600)).mean;
  before.forEach((each, step) => {
    t.ok(Math.abs((after[step] ?? 0) - 2 * each) < 1e-6);
  });
  t.end();
});

t.test("others are taken to send as this process does", (t) => {
  const view = new EngineView();
  ["g-1", "g-2"].forEach((id) => view.start(id, flight(50), at(0)));
  view.take(reportOf({ at: 100, running: 4, usedTokens: 200 }), at(600));
  ["g-3", "g-4"].forEach((id) => view.start(id, flight(50), at(650)));
  t.equal(view.forecast(at(700)).mean[0], 400);
  t.end();
});

t.test("work that waits in the engine counts as memory", (t) => {
  const view = new EngineView();
  const report = reportOf({ running: 2, waiting: 2, usedTokens: 200 });
  view.take(report, at(100));
  t.equal(view.forecast(at(100)).mean[0], 400);
  t.end();
});

t.test("memory that others freed is not taken at once", (t) => {
  const view = new EngineView();
  view.take(reportOf({ at: 100, running: 4, usedTokens: 400 }), at(100));
  view.take(reportOf({ at: 350, running: 1, usedTokens: 100 }), at(350));
  const held = view.forecast(at(350)).mean[0] ?? 0;
  t.ok(held > 100 && held < 400);
  for (let index = 0; index < 20; index++) {
    view.take(reportOf({ at: 600, running: 1, usedTokens: 100 }), at(600));
  }
  t.equal(view.forecast(at(600)).mean[0], 100);
  t.end();
});

t.test("others that change much are known less surely", (t) => {
  const steady = new EngineView();
  const restless = new EngineView();
  [100, 350, 600, 850].forEach((time, index) => {
    const usedTokens = 400 + (index % 2 === 0 ? 0 : 200);
    const report = { at: time, running: 4, usedTokens: 400 };
    steady.take(reportOf(report), at(time));
    restless.take(reportOf({ ...report, usedTokens }), at(time));
  });
  t.equal(steady.forecast(at(900)).variance[0], 0);
  t.ok((restless.forecast(at(900)).variance[0] ?? 0) > 0);
  t.end();
});

t.test("a peer's fresh share counts beyond the report", (t) => {
  const view = new EngineView();
  view.take(reportOf({ usedTokens: 100, running: 1 }), at(0));
  const share = { engine: "engine-0", running: 4, tokens: 400 };
  view.takePeer("entry-1", share, at(10));
  t.equal(view.forecast(at(100)).mean[0], 400);
  t.end();
});
