import t from "tap";
import { EnginePool } from "./engine_pool.ts";
import { reportOf } from "./testing/demand_of.ts";

const at = { monotonic: 0, wall: 0 };

function poolOf(count: number): EnginePool {
  const pool = new EnginePool(true);
  for (let index = 0; index < count; index++) {
    pool.add({ id: `engine-${index}`, dataCentre: "a", pool: "models" });
  }
  return pool;
}

function applyReport(pool: EnginePool, id: string, members: object): void {
  const engine = pool.get(id);
  const report = reportOf(members);
  const previous = engine?.view.report ?? null;
  engine?.view.applyReport(report, at);
  pool.invalidateIfChanged(previous, report);
}

t.test("updates the engines of a model by load reports", (t) => {
  const pool = poolOf(2);
  t.equal(pool.enginesFor("base").engines.length, 2);
  applyReport(pool, "engine-0", { draining: true });
  t.equal(pool.enginesFor("base").engines.length, 1);
  applyReport(pool, "engine-0", {});
  t.equal(pool.enginesFor("base").engines.length, 2);
  applyReport(pool, "engine-1", { models: ["other"] });
  t.equal(pool.enginesFor("base").engines.length, 1);
  t.equal(pool.enginesFor("other").engines.length, 1);
  t.end();
});

t.test("removes an idle disabled engine and can add it again", (t) => {
  const pool = poolOf(1);
  const engine = pool.get("engine-0");
  t.ok(engine !== undefined);
  if (engine !== undefined) {
    pool.disable(engine);
  }
  t.equal(pool.acceptsWork, false);
  t.equal(pool.get("engine-0"), undefined);
  pool.add({ id: "engine-0", dataCentre: "a", pool: "models" });
  t.equal(pool.enginesFor("base").engines.length, 1);
  t.end();
});

t.test("returns the largest memory of a model's engines", (t) => {
  const pool = poolOf(2);
  t.equal(pool.enginesFor("base").memoryTokens, Infinity);
  applyReport(pool, "engine-0", { memoryTokens: 500 });
  applyReport(pool, "engine-1", { memoryTokens: 900 });
  t.equal(pool.enginesFor("base").memoryTokens, 900);
  t.end();
});
