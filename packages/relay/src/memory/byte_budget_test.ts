import fc from "fast-check";
import t from "tap";
import { ByteBudget } from "./byte_budget.ts";

const runAtOnce = (task: () => void): void => task();

// Each exchange had its own bound, and many together filled the memory.
t.test("the exchange that holds most is ended at the limit", (t) => {
  const budget = new ByteBudget(100, runAtOnce);
  const ended: string[] = [];
  const [small, large, late] = ["small", "large", "late"].map((name) =>
    budget.open(() => ended.push(name))
  );
  small?.set(20);
  large?.set(70);
  t.strictSame(ended, []);
  late?.set(30);
  t.strictSame(ended, ["large"]);
  t.equal(budget.heldBytes, 50);
  large?.set(90);
  t.equal(budget.heldBytes, 50, "an ended exchange holds nothing");
  late?.close();
  late?.close();
  t.equal(budget.heldBytes, 20);
  t.end();
});

// A crowd of requests without bodies ended the answers of others, which held more
// than any one of the crowd.
t.test("requests that have not started give way if they hold more", (t) => {
  const budget = new ByteBudget(100, runAtOnce);
  const ended: string[] = [];
  const running = budget.open(() => ended.push("running"));
  running.set(40);
  for (const name of ["first", "second", "third", "fourth"]) {
    budget.open(() => ended.push(name), () => false).set(20);
  }
  t.strictSame(ended, ["first"]);
  t.equal(budget.heldBytes, 100);
  running.set(70);
  t.strictSame(ended, ["first", "running"]);
  t.equal(budget.heldBytes, 60);
  t.end();
});

t.test("a request that starts is no longer among those that give way", (t) => {
  const budget = new ByteBudget(100, runAtOnce);
  const ended: string[] = [];
  let hasStarted = false;
  budget.open(() => ended.push("sent"), () => hasStarted).set(60);
  hasStarted = true;
  budget.open(() => ended.push("waiting"), () => false).set(50);
  t.strictSame(ended, ["sent"], "the others do not hold more");
  t.end();
});

t.test("the limit holds, whatever the exchanges do", (t) => {
  const steps = fc.array(fc.record({
    index: fc.nat({ max: 7 }),
    bytes: fc.nat({ max: 60 }),
    closes: fc.boolean(),
  }));
  fc.assert(fc.property(steps, (steps) => {
    const budget = new ByteBudget(100, runAtOnce);
    const held = new Map<number, number>();
    const closed = new Set<number>();
    const accounts = Array.from({ length: 8 }, (_, index) =>
      budget.open(() => {
        const most = Math.max(...held.values());
        t.equal(held.get(index), most, "no other one holds more");
        held.delete(index);
        closed.add(index);
      }));
    for (const { index, bytes, closes } of steps) {
      if (closed.has(index)) {
        continue;
      }
      if (closes) {
        closed.add(index);
        held.delete(index);
        accounts[index]?.close();
      } else {
        held.set(index, bytes);
        accounts[index]?.set(bytes);
      }
      const sum = [...held.values()].reduce((total, next) => total + next, 0);
      t.equal(budget.heldBytes, sum);
      t.ok(sum <= 100);
    }
  }));
  t.end();
});
