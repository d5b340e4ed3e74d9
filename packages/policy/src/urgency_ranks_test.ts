import t from "tap";
import { UrgencyRanks } from "./urgency_ranks.ts";

// Short urgent requests waited in engines behind the prompts of long ones.
t.test("urgent routes come before others", (t) => {
  const ranks = new UrgencyRanks([
    { workspace: null, route: 2 },
    { workspace: null, route: 0 },
    { workspace: null, route: 2 },
  ]);
  t.equal(ranks.urgencyOf({ workspace: null, route: 0 }), 1);
  t.equal(ranks.urgencyOf({ workspace: null, route: 2 }), 2);
  t.end();
});

t.test("a workspace's priority goes before that of a route", (t) => {
  const priorities = [0, 1, null].flatMap((workspace) =>
    [0, 2].map((route) => ({ workspace, route }))
  );
  const ranks = new UrgencyRanks(priorities);
  t.strictSame(priorities.map((priority) => ranks.urgencyOf(priority)), [
    1,
    2,
    3,
    4,
    5,
    6,
  ]);
  t.end();
});

t.test("equal or unknown priorities state no urgency", (t) => {
  const ranks = new UrgencyRanks([{ workspace: 1, route: 1 }]);
  t.equal(ranks.urgencyOf({ workspace: 1, route: 1 }), null);
  t.equal(ranks.urgencyOf({ workspace: 1, route: 3 }), null);
  t.equal(new UrgencyRanks([]).urgencyOf({ workspace: 1, route: 3 }), null);
  t.end();
});

t.test("more priorities than values keep their order", (t) => {
  const priorities = Array.from({ length: 40 }, (_, route) => ({
    workspace: null,
    route,
  }));
  const ranks = new UrgencyRanks(priorities);
  const urgencies = priorities.map((priority) => ranks.urgencyOf(priority));
  t.strictSame(urgencies, [...urgencies].sort((a, b) => (a ?? 0) - (b ?? 0)));
  t.equal(urgencies[0], 1);
  t.equal(urgencies.at(-1), 9);
  t.end();
});
