import fc from "fast-check";
import t from "tap";
import { Backlog } from "./backlog.ts";
import { demandOf } from "./testing/demand_of.ts";

function waiting(requestId: string, deadline: number, cost = 1) {
  return { demand: demandOf({ requestId }), deadline, cost };
}

function add(backlog: Backlog, id: string, order: number): void {
  backlog.enqueue(waiting(id, order), { id, order });
}

t.test("the earliest deadline comes first", (t) => {
  const orders = fc.array(fc.integer({ min: 0, max: 100 }));
  fc.assert(
    fc.property(orders, (deadlines) => {
      const backlog = new Backlog();
      deadlines.forEach((each, index) => add(backlog, `${index}`, each));
      const taken = deadlines.map(() => backlog.dequeue()?.deadline ?? -1);
      const sorted = [...deadlines].sort((a, b) => a - b);
      return backlog.size === 0 && taken.join() === sorted.join();
    }),
    { seed: 4 },
  );
  t.end();
});

t.test("equal deadlines keep their order of arrival", (t) => {
  const backlog = new Backlog();
  ["a", "b", "c"].forEach((id) => add(backlog, id, 5));
  const ids = backlog.head(3).map(({ demand }) => demand.requestId);
  t.strictSame(ids, ["a", "b", "c"]);
  t.end();
});

t.test("late demands are found", (t) => {
  const backlog = new Backlog();
  add(backlog, "early", 10);
  add(backlog, "later", 20);
  const late = backlog.late(15, () => 0);
  t.strictSame(late.map(({ demand }) => demand.requestId), ["early"]);
  t.end();
});

t.test("demands that cannot start in time are found before they are late", (t) => {
  const backlog = new Backlog();
  backlog.enqueue(waiting("a", 10, 100), { id: "a", order: 10 });
  backlog.enqueue(waiting("b", 20, 1), { id: "b", order: 20 });
  backlog.enqueue(waiting("c", 200, 1), { id: "c", order: 200 });
  const late = backlog.late(5, (cost) => cost);
  t.strictSame(late.map(({ demand }) => demand.requestId), ["b"]);
  t.end();
});

t.test("taking a demand keeps counts and cost", (t) => {
  const backlog = new Backlog();
  backlog.enqueue(waiting("a", 1, 30), { id: "a", order: 1 });
  backlog.enqueue(waiting("b", 2, 40), { id: "b", order: 2 });
  t.equal(backlog.cost, 70);
  t.equal(backlog.countOf("clinic"), 2);
  t.equal(backlog.costBefore(1), 30);
  backlog.take("a");
  t.equal(backlog.take("a"), undefined);
  t.equal(backlog.cost, 40);
  t.equal(backlog.countOf("clinic"), 1);
  backlog.take("b");
  t.equal(backlog.workspaces, 0);
  t.end();
});

t.test("a priority moves a demand forward", (t) => {
  const backlog = new Backlog();
  add(backlog, "a", 10);
  add(backlog, "b", 20);
  backlog.setPriority("b", 15);
  t.equal(backlog.dequeue()?.demand.requestId, "b");
  t.end();
});
