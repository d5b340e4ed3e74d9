import fc from "fast-check";
import t from "tap";
import { Backlog } from "./backlog.ts";
import { demandOf } from "./testing/demand_of.ts";

function waitingDemand(requestId: string, deadline: number, cost = 1) {
  return { demand: demandOf({ requestId }), deadline, cost };
}

function add(backlog: Backlog, id: string, order: number): void {
  backlog.enqueue(waitingDemand(id, order), { id, order });
}

t.test("dequeues the earliest deadline first", (t) => {
  const orders = fc.array(fc.integer({ min: 0, max: 100 }));
  fc.assert(
    fc.property(orders, (deadlines) => {
      const backlog = new Backlog();
      deadlines.forEach((deadline, index) =>
        add(backlog, `${index}`, deadline)
      );
      const dequeued = deadlines.map(() => backlog.dequeue()?.deadline ?? -1);
      const sorted = [...deadlines].sort((a, b) => a - b);
      return backlog.size === 0 && dequeued.join() === sorted.join();
    }),
    { seed: 4 },
  );
  t.end();
});

t.test("keeps the arrival order of equal deadlines", (t) => {
  const backlog = new Backlog();
  ["a", "b", "c"].forEach((id) => add(backlog, id, 5));
  const ids = backlog.head(3).map(({ demand }) => demand.requestId);
  t.strictSame(ids, ["a", "b", "c"]);
  t.end();
});

t.test("finds demands past their deadline", (t) => {
  const backlog = new Backlog();
  add(backlog, "early", 10);
  add(backlog, "later", 20);
  const unmeetable = backlog.findUnmeetable(15, () => 0);
  t.strictSame(unmeetable.map(({ demand }) => demand.requestId), ["early"]);
  t.end();
});

t.test("finds demands that cannot start by their deadline", (t) => {
  const backlog = new Backlog();
  backlog.enqueue(waitingDemand("a", 10, 100), { id: "a", order: 10 });
  backlog.enqueue(waitingDemand("b", 20, 1), { id: "b", order: 20 });
  backlog.enqueue(waitingDemand("c", 200, 1), { id: "c", order: 200 });
  const unmeetable = backlog.findUnmeetable(5, (cost) => cost);
  t.strictSame(unmeetable.map(({ demand }) => demand.requestId), ["b"]);
  t.end();
});

t.test("updates counts and cost when demands are removed", (t) => {
  const backlog = new Backlog();
  backlog.enqueue(waitingDemand("a", 1, 30), { id: "a", order: 1 });
  backlog.enqueue(waitingDemand("b", 2, 40), { id: "b", order: 2 });
  t.equal(backlog.totalCost, 70);
  t.equal(backlog.countOf("clinic"), 2);
  t.equal(backlog.costAheadOf(1), 30);
  backlog.removeByRequestId("a");
  t.equal(backlog.removeByRequestId("a"), undefined);
  t.equal(backlog.totalCost, 40);
  t.equal(backlog.countOf("clinic"), 1);
  backlog.removeByRequestId("b");
  t.equal(backlog.workspaceCount, 0);
  t.end();
});

t.test("moves a demand forward by its priority", (t) => {
  const backlog = new Backlog();
  add(backlog, "a", 10);
  add(backlog, "b", 20);
  backlog.setPriority("b", 15);
  t.equal(backlog.dequeue()?.demand.requestId, "b");
  t.end();
});
