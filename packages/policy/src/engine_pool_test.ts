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

function report(pool: EnginePool, id: string, members: object): void {
  const engine = pool.get(id);
  const taken = reportOf(members);
  const former = engine?.view.report ?? null;
  engine?.view.take(taken, at);
  pool.reported(former, taken);
}

t.test("the list of a model follows reports", (t) => {
  const pool = poolOf(2);
  t.equal(pool.serving("base").engines.length, 2);
  report(pool, "engine-0", { draining: true });
  t.equal(pool.serving("base").engines.length, 1);
  report(pool, "engine-0", {});
  t.equal(pool.serving("base").engines.length, 2);
  report(pool, "engine-1", { models: ["other"] });
  t.equal(pool.serving("base").engines.length, 1);
  t.equal(pool.serving("other").engines.length, 1);
  t.end();
});

t.test("a closed engine is forgotten when idle and can come back", (t) => {
  const pool = poolOf(1);
  const engine = pool.get("engine-0");
  t.ok(engine !== undefined);
  if (engine !== undefined) {
    pool.close(engine);
  }
  t.equal(pool.open, false);
  t.equal(pool.get("engine-0"), undefined);
  pool.add({ id: "engine-0", dataCentre: "a", pool: "models" });
  t.equal(pool.serving("base").engines.length, 1);
  t.end();
});

t.test("the largest memory is known", (t) => {
  const pool = poolOf(2);
  t.equal(pool.serving("base").memoryTokens, Infinity);
  report(pool, "engine-0", { memoryTokens: 500 });
  report(pool, "engine-1", { memoryTokens: 900 });
  t.equal(pool.serving("base").memoryTokens, 900);
  t.end();
});
