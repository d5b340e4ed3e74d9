import t from "tap";
import { EngineView } from "./engine_view.ts";
import { priorTail } from "./length_distribution.ts";
import { demandOf, reportOf } from "./testing/demand_of.ts";

function at(milliseconds: number) {
  return { monotonic: milliseconds, wall: milliseconds };
}

function flight(promptTokens: number) {
  const demand = demandOf({ promptTokens });
  const progress = { sentAt: 0, producedTokens: 0, progressedAt: 0 };
  return { demand, tail: priorTail, ...progress };
}

t.test("adds own work that started after the report was measured", (t) => {
  const view = new EngineView();
  view.applyReport(reportOf({ at: 100, running: 2, usedTokens: 300 }), at(100));
  view.addFlight("g-1", flight(50), at(200));
  t.equal(view.running, 3);
  t.equal(view.forecast(at(200)).mean[0], 350);
  t.end();
});

t.test("does not count own work in a report twice", (t) => {
  const view = new EngineView();
  view.addFlight("g-1", flight(50), at(100));
  const report = reportOf({ at: 400, running: 3, usedTokens: 350 });
  view.applyReport(report, at(900));
  t.equal(view.running, 3);
  t.equal(view.forecast(at(900)).mean[0], 350);
  t.end();
});

t.test("subtracts own work that ended after the report was measured", (t) => {
  const view = new EngineView();
  view.addFlight("g-1", flight(50), at(100));
  view.removeFlight("g-1", at(500));
  view.applyReport(reportOf({ at: 400, running: 1, usedTokens: 50 }), at(900));
  t.equal(view.running, 0);
  t.equal(view.forecast(at(900)).mean[0], 0);
  t.end();
});

t.test("assumes that others' work grows like its own", (t) => {
  const view = new EngineView();
  ["g-1", "g-2", "g-3"].forEach((id) => view.addFlight(id, flight(50), at(0)));
  const before = view.forecast(at(50)).mean;
  view.applyReport(reportOf({ at: 100, running: 6, usedTokens: 300 }), at(600));
  const after = view.forecast(at(600)).mean;
  before.forEach((meanTokens, step) => {
    t.ok(Math.abs((after[step] ?? 0) - 2 * meanTokens) < 1e-6);
  });
  t.end();
});

t.test("assumes that others start work at the same rate", (t) => {
  const view = new EngineView();
  ["g-1", "g-2"].forEach((id) => view.addFlight(id, flight(50), at(0)));
  view.applyReport(reportOf({ at: 100, running: 4, usedTokens: 200 }), at(600));
  ["g-3", "g-4"].forEach((id) => view.addFlight(id, flight(50), at(650)));
  t.equal(view.forecast(at(700)).mean[0], 400);
  t.end();
});

t.test("counts memory for work queued in the engine", (t) => {
  const view = new EngineView();
  const report = reportOf({ running: 2, waiting: 2, usedTokens: 200 });
  view.applyReport(report, at(100));
  t.equal(view.forecast(at(100)).mean[0], 400);
  t.end();
});

t.test("lowers the estimate of others' memory gradually", (t) => {
  const view = new EngineView();
  view.applyReport(reportOf({ at: 100, running: 4, usedTokens: 400 }), at(100));
  view.applyReport(reportOf({ at: 350, running: 1, usedTokens: 100 }), at(350));
  const held = view.forecast(at(350)).mean[0] ?? 0;
  t.ok(held > 100 && held < 400);
  for (let index = 0; index < 20; index++) {
    view.applyReport(
      reportOf({ at: 600, running: 1, usedTokens: 100 }),
      at(600),
    );
  }
  t.equal(view.forecast(at(600)).mean[0], 100);
  t.end();
});

t.test("raises the variance when others' memory fluctuates", (t) => {
  const steady = new EngineView();
  const varying = new EngineView();
  [100, 350, 600, 850].forEach((time, index) => {
    const usedTokens = 400 + (index % 2 === 0 ? 0 : 200);
    const report = { at: time, running: 4, usedTokens: 400 };
    steady.applyReport(reportOf(report), at(time));
    varying.applyReport(reportOf({ ...report, usedTokens }), at(time));
  });
  t.equal(steady.forecast(at(900)).variance[0], 0);
  t.ok((varying.forecast(at(900)).variance[0] ?? 0) > 0);
  t.end();
});

t.test("uses a recent peer share that exceeds the report", (t) => {
  const view = new EngineView();
  view.applyReport(reportOf({ usedTokens: 100, running: 1 }), at(0));
  const share = { engine: "engine-0", running: 4, tokens: 400 };
  view.setPeerShare("entry-1", share, at(10));
  t.equal(view.forecast(at(100)).mean[0], 400);
  t.end();
});
