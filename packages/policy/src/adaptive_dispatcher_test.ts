import { hashText } from "@lavenderferry/runtime";
import fc from "fast-check";
import t from "tap";
import { AdaptiveDispatcher } from "./adaptive_dispatcher.ts";
import type { AdaptiveOptions } from "./adaptive_options.ts";
import { demandOf, reportOf } from "./testing/demand_of.ts";

function at(milliseconds: number) {
  return { monotonic: milliseconds, wall: milliseconds };
}

function dispatcherOf(
  memoryTokens: readonly number[],
  options: Partial<AdaptiveOptions> = {},
): AdaptiveDispatcher {
  const dispatcher = new AdaptiveDispatcher(1, options);
  memoryTokens.forEach((tokens, index) => {
    const id = `engine-${index}`;
    dispatcher.addEngine({ id, dataCentre: "krakow", pool: "models" });
    dispatcher.loadReported(id, reportOf({ memoryTokens: tokens }), at(0));
  });
  return dispatcher;
}

/** Dispatches demands until one is not placed; returns how many were. */
function fillEngines(dispatcher: AdaptiveDispatcher): number {
  for (let count = 0; count < 1_000; count++) {
    const demand = demandOf({ requestId: `fill-${count}` });
    const placement = dispatcher.place(demand, at(0));
    if (placement.kind !== "dispatch") {
      return count;
    }
    const { engine } = placement;
    dispatcher.sent({ generationId: `g-${count}`, engine, demand }, at(0));
  }
  return 1_000;
}

t.test("refuses demands that no engine can run", (t) => {
  const table = [
    { memory: [], demand: {}, error: "no_upstream" },
    { memory: [1_000], demand: { model: "other" }, error: "unknown_model" },
    { memory: [100], demand: { promptTokens: 500 }, error: "prompt_too_long" },
  ];
  for (const { memory, demand, error } of table) {
    const placement = dispatcherOf(memory).place(demandOf(demand), at(0));
    t.match(placement, { kind: "refuse", error });
  }
  t.end();
});

t.test("dispatches any prompt that fits to an idle engine", (t) => {
  const dispatcher = dispatcherOf([100]);
  const placement = dispatcher.place(demandOf({ promptTokens: 90 }), at(0));
  t.equal(placement.kind, "dispatch");
  t.end();
});

t.test("queues a demand that would put the memory at risk", (t) => {
  const dispatcher = dispatcherOf([2_000]);
  const sent = fillEngines(dispatcher);
  t.ok(sent > 1 && sent * 30 < 2_000, `sent ${sent}`);
  t.equal(dispatcher.waiting, 1);
  t.end();
});

t.test("releases a queued demand when memory is freed", (t) => {
  const dispatcher = dispatcherOf([2_000]);
  const sent = fillEngines(dispatcher);
  t.strictSame(dispatcher.release(at(10)), []);
  for (let index = 0; index < sent; index++) {
    dispatcher.ended(`g-${index}`, "finished", at(20));
  }
  const [release] = dispatcher.release(at(30));
  t.equal(release?.placement.kind, "dispatch");
  t.equal(dispatcher.waiting, 0);
  t.end();
});

t.test("refuses a queued demand that can no longer meet its target", (t) => {
  const dispatcher = dispatcherOf([2_000]);
  fillEngines(dispatcher);
  const [release] = dispatcher.release(at(1_000));
  t.match(release?.placement, {
    kind: "refuse",
    error: "overloaded",
    reason: "target_unreachable",
  });
  t.end();
});

t.test("keeps late demands queued when refusals are switched off", (t) => {
  const dispatcher = dispatcherOf([2_000], { refusals: false });
  fillEngines(dispatcher);
  t.strictSame(dispatcher.release(at(60_000)), []);
  t.end();
});

t.test("does not release a withdrawn demand", (t) => {
  const dispatcher = dispatcherOf([2_000]);
  const sent = fillEngines(dispatcher);
  dispatcher.withdraw(`fill-${sent}`);
  t.equal(dispatcher.waiting, 0);
  t.strictSame(dispatcher.release(at(1_000)), []);
  t.end();
});

t.test("dispatches nothing to removed or draining engines", (t) => {
  const dispatcher = dispatcherOf([8_000, 8_000]);
  dispatcher.removeEngine("engine-0");
  const first = dispatcher.place(demandOf(), at(0));
  t.match(first, { kind: "dispatch", engine: "engine-1" });
  dispatcher.loadReported("engine-1", reportOf({ draining: true }), at(10));
  t.equal(dispatcher.place(demandOf(), at(20)).kind, "refuse");
  t.end();
});

t.test("avoids an engine that has refused three generations", (t) => {
  const dispatcher = dispatcherOf([8_000, 8_000]);
  for (let index = 0; index < 3; index++) {
    const demand = demandOf({ requestId: `r-${index}` });
    const generationId = `g-${index}`;
    dispatcher.sent({ generationId, engine: "engine-0", demand }, at(0));
    dispatcher.ended(generationId, "refused", at(1));
  }
  for (let index = 0; index < 20; index++) {
    const demand = demandOf({ requestId: `s-${index}` });
    t.match(dispatcher.place(demand, at(2)), { engine: "engine-1" });
  }
  t.strictSame(
    dispatcher.failuresByEngine().get("engine-0")?.get("refused"),
    3,
  );
  t.end();
});

t.test("prefers the engine that holds the prompt's prefix", (t) => {
  const dispatcher = dispatcherOf([8_000, 8_000, 8_000]);
  const prefix = ["d-1", "d-2"];
  const change = { stored: prefix, dropped: [], gap: false };
  dispatcher.cacheChanged("engine-2", change);
  const placement = dispatcher.place(demandOf({ prefix }), at(0));
  t.match(placement, { engine: "engine-2", reason: "cached_prefix" });
  t.end();
});

t.test("makes the same decisions for the same events", (t) => {
  const tokens = fc.array(fc.integer({ min: 1, max: 400 }), { maxLength: 60 });
  fc.assert(
    fc.property(tokens, (prompts) => {
      const run = () => {
        const dispatcher = dispatcherOf([900, 900, 900, 900]);
        return prompts.map((promptTokens, index) => {
          const demand = demandOf({ requestId: `r-${index}`, promptTokens });
          const placement = dispatcher.place(demand, at(index));
          if (placement.kind === "dispatch") {
            const { engine } = placement;
            const generationId = `g-${index}`;
            dispatcher.sent({ generationId, engine, demand }, at(index));
          }
          return placement;
        });
      };
      return JSON.stringify(run()) === JSON.stringify(run());
    }),
    { seed: 5, numRuns: 50 },
  );
  t.end();
});

t.test("dispatches, refuses or queues every demand exactly once", (t) => {
  const steps = fc.array(fc.integer({ min: 1, max: 300 }), { maxLength: 80 });
  fc.assert(
    fc.property(steps, (prompts) => {
      const dispatcher = dispatcherOf([700, 700]);
      const decided = new Set<string>();
      const markDecided = (id: string) => {
        if (decided.has(id)) {
          throw new Error(`"${id}" was decided twice`);
        }
        decided.add(id);
      };
      prompts.forEach((promptTokens, index) => {
        const now = at(index * 40);
        const requestId = `r-${index}`;
        const arrivedAt = now.monotonic;
        const demand = demandOf({ requestId, promptTokens, arrivedAt });
        if (dispatcher.place(demand, now).kind !== "wait") {
          markDecided(requestId);
        }
        dispatcher.release(now).forEach((released) =>
          markDecided(released.demand.requestId)
        );
      });
      return decided.size + dispatcher.waiting === prompts.length;
    }),
    { seed: 6, numRuns: 50 },
  );
  t.end();
});

t.test("spreads transfer targets over the engines with room", (t) => {
  const chosen = new Map<string, number>();
  for (let seed = 1; seed <= 200; seed += 1) {
    // Processes derive their seeds from hashes.
    const dispatcher = new AdaptiveDispatcher(hashText(`front-${seed}`));
    for (const id of ["e1", "e2", "e3", "e4"]) {
      dispatcher.addEngine({ id, dataCentre: "krakow", pool: "models" });
      // The first engine is empty, like one that has just started.
      const usedTokens = id === "e1" ? 0 : 5_000;
      const report = reportOf({ memoryTokens: 20_000, usedTokens });
      dispatcher.loadReported(id, report, at(0));
    }
    const id = dispatcher.chooseTransferTarget(demandOf({}), {
      at: at(0),
      maxCandidates: 8,
    });
    chosen.set(id ?? "", (chosen.get(id ?? "") ?? 0) + 1);
  }
  t.equal(chosen.size, 4, "all engines are chosen by some process");
  t.ok(
    Math.max(...chosen.values()) <= 130,
    "no engine is chosen by nearly all processes",
  );
  t.end();
});

t.test("transfers prefer the near data centre within the memory limit", (t) => {
  const dispatcher = dispatcherOf([]);
  const engines = [["near", "krakow", 9_000], ["far", "lodz", 1_000]] as const;
  for (const [id, dataCentre, usedTokens] of engines) {
    dispatcher.addEngine({ id, dataCentre, pool: "models" });
    const report = reportOf({ memoryTokens: 20_000, usedTokens });
    dispatcher.loadReported(id, report, at(0));
  }
  const options = {
    at: at(0),
    preferredDataCentre: "krakow",
    maxCandidates: 8,
  };
  const demand = demandOf({ promptTokens: 1_000 });
  t.equal(dispatcher.chooseTransferTarget(demand, options), "near");
  t.equal(
    dispatcher.chooseTransferTarget(demand, {
      ...options,
      maxMemoryFraction: 0.4,
    }),
    "far",
  );
  const smallLimit = { ...options, maxMemoryFraction: 0.05 };
  t.equal(dispatcher.chooseTransferTarget(demand, smallLimit), null);
  t.end();
});
