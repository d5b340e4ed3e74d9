import t from "tap";
import { AdaptiveDispatcher } from "./adaptive_dispatcher.ts";
import { demandOf, reportOf } from "./testing/demand_of.ts";

const at = { monotonic: 0, wall: 10_000 };
const options = { at, maxCandidates: 2 };
const demand = demandOf({ promptTokens: 300 });

function dispatcherWith(usedTokens: Readonly<Record<string, number>>) {
  const dispatcher = new AdaptiveDispatcher(1);
  for (const [id, used] of Object.entries(usedTokens)) {
    dispatcher.addEngine({ id, dataCentre: "a", pool: "models" });
    dispatcher.loadReported(id, reportOf(), at);
    const load = { memoryTokens: 1_000, usedTokens: used, heldTokens: 0 };
    const times = { measuredAt: 9_500, at };
    const counts = { running: 3, waiting: 0 };
    dispatcher.engineReported(id, { ...load, ...counts }, times);
  }
  return dispatcher;
}

// A generation whose engine leaves was cut because every target's memory might
// overflow later, although it had room for the moment.
t.test("a move takes an engine with room even if it may overflow", (t) => {
  const dispatcher = dispatcherWith({ full: 900, busy: 600 });
  const preferredEngines = ["full", "busy"];
  t.equal(dispatcher.chooseTransferTarget(demand, options), null);
  const target = { ...options, preferredEngines };
  t.equal(dispatcher.chooseTransferTarget(demand, target), "busy");
  t.equal(
    dispatcherWith({ full: 900 }).chooseTransferTarget(demand, target),
    null,
  );
  t.end();
});

// A process that knows no loads would fill engines that it takes for empty.
t.test("copies go to engines with a recent report only", (t) => {
  const dispatcher = dispatcherWith({ busy: 100 });
  dispatcher.addEngine({ id: "new", dataCentre: "a", pool: "models" });
  dispatcher.loadReported("new", reportOf(), at);
  const reported = { ...options, isReported: true };
  t.equal(dispatcher.chooseTransferTarget(demand, reported), "busy");
  const later = { monotonic: 5_000, wall: 15_000 };
  t.equal(
    dispatcher.chooseTransferTarget(demand, { ...reported, at: later }),
    null,
  );
  t.end();
});
