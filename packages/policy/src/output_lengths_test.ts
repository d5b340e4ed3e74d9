import t from "tap";
import {
  bucketOf,
  lengthBuckets,
  meanRemaining,
} from "./length_distribution.ts";
import { OutputLengths } from "./output_lengths.ts";

const model = "base";
const maxTokens = 4_096;

function key(workspace: string, workClass = "tag") {
  return { workspace, workClass, model };
}

function learnMany(lengths: OutputLengths, workspace: string, tokens: number) {
  for (let index = 0; index < 200; index++) {
    lengths.learn(key(workspace), tokens);
  }
}

t.test("uses the class's distribution for a new workspace", (t) => {
  const lengths = new OutputLengths();
  learnMany(lengths, "a", 10);
  const expected = meanRemaining(lengths.tailOf(key("new")), 0, maxTokens);
  t.ok(expected < 30, `expected ${expected}`);
  t.end();
});

t.test("uses the model's distribution for a new class", (t) => {
  const lengths = new OutputLengths();
  const before = meanRemaining(lengths.tailOf(key("a", "new")), 0, maxTokens);
  learnMany(lengths, "a", 10);
  const after = meanRemaining(lengths.tailOf(key("a", "other")), 0, maxTokens);
  t.ok(after < before);
  t.end();
});

t.test("keeps distributions of workspaces apart", (t) => {
  const lengths = new OutputLengths();
  learnMany(lengths, "short", 10);
  learnMany(lengths, "long", 800);
  const short = meanRemaining(lengths.tailOf(key("short")), 0, maxTokens);
  const long = meanRemaining(lengths.tailOf(key("long")), 0, maxTokens);
  t.ok(long > 4 * short, `${long} and ${short}`);
  t.end();
});

t.test("adapts to a shift of the lengths", (t) => {
  const lengths = new OutputLengths();
  learnMany(lengths, "a", 10);
  for (let index = 0; index < 5; index++) {
    learnMany(lengths, "a", 400);
  }
  const expected = meanRemaining(lengths.tailOf(key("a")), 0, maxTokens);
  t.ok(expected > 300, `expected ${expected}`);
  t.end();
});

t.test("bounds the number of workspaces", (t) => {
  const lengths = new OutputLengths();
  for (let index = 0; index < 43_000; index++) {
    lengths.learn(key(`workspace-${index}`), 10);
  }
  t.ok(lengths.size <= 8_192);
  t.end();
});

t.test("merges the latest counts of peers", (t) => {
  const lengths = new OutputLengths();
  const counts = Array.from({ length: lengthBuckets }, () => 0);
  counts[bucketOf(10)] = 500;
  const before = meanRemaining(lengths.tailOf(key("a")), 0, maxTokens);
  const sketch = { workClass: "tag", model, counts };
  lengths.setPeerSketches("peer", [sketch]);
  lengths.setPeerSketches("peer", [sketch]);
  const after = meanRemaining(lengths.tailOf(key("a")), 0, maxTokens);
  t.ok(after < before / 2);
  t.end();
});

t.test("ignores counts of the wrong size", (t) => {
  const lengths = new OutputLengths();
  const before = meanRemaining(lengths.tailOf(key("a")), 0, maxTokens);
  lengths.setPeerSketches("peer", [{
    workClass: "tag",
    model,
    counts: [1, 2],
  }]);
  t.equal(meanRemaining(lengths.tailOf(key("a")), 0, maxTokens), before);
  t.end();
});

t.test("returns changed counts once", (t) => {
  const lengths = new OutputLengths();
  lengths.learn(key("a"), 10);
  t.equal(lengths.takeChangedSketches().length, 1);
  t.equal(lengths.takeChangedSketches().length, 0);
  t.end();
});

// Where nobody takes them, as in a relay, they grew with each model that a caller named.
t.test("changed distributions are bounded by the classes that are kept", (t) => {
  const lengths = new OutputLengths();
  for (let index = 0; index < 3_000; index++) {
    const model = `m${index}`;
    lengths.learn({ workspace: "w", workClass: "tag", model }, 10);
  }
  const changed = lengths.takeChangedSketches();
  t.equal(changed.length, 1_024);
  t.equal(changed.at(-1)?.model, "m2999");
  t.strictSame(lengths.takeChangedSketches(), []);
  t.end();
});
