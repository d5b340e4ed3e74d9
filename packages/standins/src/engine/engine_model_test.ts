import { estimateTokens } from "@lavenderferry/policy";
import fc from "fast-check";
import t from "tap";
import type { EngineGeneration } from "./engine_model.ts";
import { defaultEngineSizes, EngineModel } from "./engine_model.ts";

const seed = 20_261_203;
const maxSteps = 20_000;

function modelOf(sizes: Partial<typeof defaultEngineSizes>): EngineModel {
  return new EngineModel({ ...defaultEngineSizes, ...sizes });
}

function demand(id: string, tokens: number, priority = 0) {
  const prompt = `${id} [out:${tokens}]`;
  return { id, model: "base", prompt, maxTokens: 10_000, priority };
}

function runAll(model: EngineModel, check: () => void): readonly string[] {
  const order: string[] = [];
  for (let step = 0; step < maxSteps; step++) {
    if (model.running + model.waiting === 0) {
      return order;
    }
    order.push(...model.step().finished.map(({ request }) => request.id));
    check();
  }
  throw new Error("The generations did not end");
}

t.test("the memory is never exceeded and every generation ends", (t) => {
  const asks = fc.array(
    fc.record({
      tokens: fc.integer({ min: 1, max: 150 }),
      priority: fc.integer({ min: 0, max: 3 }),
    }),
    { minLength: 1, maxLength: 25 },
  );
  const memory = fc.integer({ min: 60, max: 400 });
  fc.assert(
    fc.property(asks, memory, (each, memoryTokens) => {
      const model = modelOf({ memoryTokens, maxRunning: 8 });
      const generations = each.map(({ tokens, priority }, index) =>
        model.add(demand(`g-${index}`, tokens, priority))
      );
      runAll(model, () => {
        if (model.usedTokens > memoryTokens) {
          throw new Error(`${model.usedTokens} of ${memoryTokens} are used`);
        }
      });
      return generations.every((generation) =>
        generation.state === "finished" &&
        generation.tokensOut === generation.length
      );
    }),
    { seed, numRuns: 100 },
  );
  t.end();
});

const victims = [
  {
    name: "the lowest priority goes first",
    asks: [demand("a", 60, 0), demand("b", 60, 2), demand("c", 60, 1)],
    expected: "a",
  },
  {
    name: "among equals the latest goes first",
    asks: [demand("a", 60, 1), demand("b", 60, 1), demand("c", 60, 1)],
    expected: "c",
  },
];

for (const { name, asks, expected } of victims) {
  t.test(name, (t) => {
    const prompts = asks.reduce(
      (sum, each) => sum + estimateTokens(each.prompt),
      0,
    );
    const model = modelOf({ memoryTokens: prompts + 30 });
    const generations = asks.map((each) => model.add(each));
    const victim = firstPreempted(model, generations);
    t.equal(victim?.request.id, expected);
    t.equal(model.preemptions, 1);
    t.end();
  });
}

function firstPreempted(
  model: EngineModel,
  generations: readonly EngineGeneration[],
): EngineGeneration | undefined {
  for (let step = 0; step < maxSteps && model.preemptions === 0; step++) {
    model.step();
  }
  return generations.find(({ preemptions }) => preemptions > 0);
}

t.test("a preempted generation is computed again and keeps its tokens", (t) => {
  const model = modelOf({ memoryTokens: 70 });
  model.add(demand("first", 50));
  const second = model.add(demand("second", 50));
  const preempted = firstPreempted(model, [second]);
  const before = preempted?.tokensOut ?? 0;
  t.ok(before > 0);
  t.equal(second.state, "waiting");
  t.ok(second.recomputed >= before);
  runAll(model, () => t.ok(second.tokensOut >= before));
  t.equal(second.tokensOut, 50);
  t.end();
});

t.test("a cancelled generation frees its memory", (t) => {
  const model = modelOf({});
  const generation = model.add(demand("a", 50));
  model.step();
  t.ok(model.usedTokens > 0);
  model.cancel(generation);
  t.equal(model.usedTokens, 0);
  t.equal(model.running, 0);
  t.end();
});

t.test("a repeated prompt is taken from the cache", (t) => {
  const model = modelOf({});
  const prompt = `${"The same long preface of a prompt. ".repeat(40)}[out:2]`;
  const ask = { ...demand("a", 2), prompt };
  const first = model.add(ask);
  runAll(model, () => undefined);
  const second = model.add({ ...ask, id: "b" });
  runAll(model, () => undefined);
  t.equal(first.cachedTokens, 0);
  t.ok(second.cachedTokens > 0);
  t.end();
});
