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

function requestOf(id: string, tokens: number, priority = 0) {
  const prompt = `${id} [out:${tokens}]`;
  return { id, model: "base", prompt, maxTokens: 10_000, priority };
}

function runToCompletion(
  model: EngineModel,
  check: () => void,
): readonly string[] {
  const order: string[] = [];
  for (let step = 0; step < maxSteps; step++) {
    if (model.running + model.waiting === 0) {
      return order;
    }
    order.push(...model.step().finished.map(({ request }) => request.id));
    check();
  }
  throw new Error("The generations did not finish");
}

t.test("the KV cache never overflows and every generation finishes", (t) => {
  const requestArrays = fc.array(
    fc.record({
      tokens: fc.integer({ min: 1, max: 150 }),
      priority: fc.integer({ min: 0, max: 3 }),
    }),
    { minLength: 1, maxLength: 25 },
  );
  const memorySizes = fc.integer({ min: 60, max: 400 });
  fc.assert(
    fc.property(requestArrays, memorySizes, (requests, memoryTokens) => {
      const model = modelOf({ memoryTokens, maxRunning: 8 });
      const generations = requests.map(({ tokens, priority }, index) =>
        model.add(requestOf(`g-${index}`, tokens, priority))
      );
      runToCompletion(model, () => {
        if (model.usedTokens > memoryTokens) {
          throw new Error(
            `${model.usedTokens} of ${memoryTokens} tokens are used`,
          );
        }
      });
      return generations.every((generation) =>
        generation.state === "finished" &&
        generation.generatedTokens === generation.outputTokens
      );
    }),
    { seed, numRuns: 100 },
  );
  t.end();
});

const victims = [
  {
    name: "the lowest priority is preempted first",
    requests: [
      requestOf("a", 60, 0),
      requestOf("b", 60, 2),
      requestOf("c", 60, 1),
    ],
    expected: "a",
  },
  {
    name: "among equal priorities the last arrival is preempted first",
    requests: [
      requestOf("a", 60, 1),
      requestOf("b", 60, 1),
      requestOf("c", 60, 1),
    ],
    expected: "c",
  },
];

for (const { name, requests, expected } of victims) {
  t.test(name, (t) => {
    const promptTokens = requests.reduce(
      (sum, request) => sum + estimateTokens(request.prompt),
      0,
    );
    const model = modelOf({ memoryTokens: promptTokens + 30 });
    const generations = requests.map((request) => model.add(request));
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

t.test("a preempted generation is recomputed and keeps its tokens", (t) => {
  const model = modelOf({ memoryTokens: 70 });
  model.add(requestOf("first", 50));
  const second = model.add(requestOf("second", 50));
  const preempted = firstPreempted(model, [second]);
  const before = preempted?.generatedTokens ?? 0;
  t.ok(before > 0);
  t.equal(second.state, "waiting");
  t.ok(second.recomputedTokens >= before);
  runToCompletion(model, () => t.ok(second.generatedTokens >= before));
  t.equal(second.generatedTokens, 50);
  t.end();
});

t.test("a cancelled generation frees its KV cache", (t) => {
  const model = modelOf({});
  const generation = model.add(requestOf("a", 50));
  model.step();
  t.ok(model.usedTokens > 0);
  model.cancel(generation);
  t.equal(model.usedTokens, 0);
  t.equal(model.running, 0);
  t.end();
});

t.test("a repeated prompt hits the prefix cache", (t) => {
  const model = modelOf({});
  const prompt = `${"The same long preface of a prompt. ".repeat(40)}[out:2]`;
  const original = { ...requestOf("a", 2), prompt };
  const first = model.add(original);
  runToCompletion(model, () => undefined);
  const second = model.add({ ...original, id: "b" });
  runToCompletion(model, () => undefined);
  t.equal(first.cachedTokens, 0);
  t.ok(second.cachedTokens > 0);
  t.end();
});
