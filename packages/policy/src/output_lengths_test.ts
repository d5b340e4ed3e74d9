import t from "tap";
import {
  bucketOf,
  lengthBuckets,
  meanRemaining,
} from "./length_distribution.ts";
import { OutputLengths } from "./output_lengths.ts";

const model = "base";
const most = 4_096;

function key(workspace: string, workClass = "tag") {
  return { workspace, workClass, model };
}

function learnMany(lengths: OutputLengths, workspace: string, tokens: number) {
  for (let index = 0; index < 200; index++) {
    lengths.learn(key(workspace), tokens);
  }
}

t.test("a new workspace leans on its class", (t) => {
  const lengths = new OutputLengths();
  learnMany(lengths, "a", 10);
  const expected = meanRemaining(lengths.tailOf(key("new")), 0, most);
  t.ok(expected < 30, `expected ${expected}`);
  t.end();
});

t.test("a new class leans on its model", (t) => {
  const lengths = new OutputLengths();
  const before = meanRemaining(lengths.tailOf(key("a", "new")), 0, most);
  learnMany(lengths, "a", 10);
  const after = meanRemaining(lengths.tailOf(key("a", "other")), 0, most);
  t.ok(after < before);
  t.end();
});

t.test("workspaces of one class are told apart", (t) => {
  const lengths = new OutputLengths();
  learnMany(lengths, "short", 10);
  learnMany(lengths, "long", 800);
  const short = meanRemaining(lengths.tailOf(key("short")), 0, most);
  const long = meanRemaining(lengths.tailOf(key("long")), 0, most);
  t.ok(long > 4 * short, `${long} and ${short}`);
  t.end();
});

t.test("a shift of lengths is followed", (t) => {
  const lengths = new OutputLengths();
  learnMany(lengths, "a", 10);
  for (let index = 0; index < 5; index++) {
    learnMany(lengths, "a", 400);
  }
  const expected = meanRemaining(lengths.tailOf(key("a")), 0, most);
  t.ok(expected > 300, `expected ${expected}`);
  t.end();
});

t.test("the number of workspaces held is bounded", (t) => {
  const lengths = new OutputLengths();
  for (let index = 0; index < 43_000; index++) {
    lengths.learn(key(`workspace-${index}`), 10);
  }
  t.ok(lengths.size <= 8_192);
  t.end();
});

t.test("peers' counts are merged, their latest in place of former", (t) => {
  const lengths = new OutputLengths();
  const counts = Array.from({ length: lengthBuckets }, () => 0);
  counts[bucketOf(10)] = 500;
  const before = meanRemaining(lengths.tailOf(key("a")), 0, most);
  const sketch = { workClass: "tag", model, counts };
  lengths.learnPeer("peer", [sketch]);
  lengths.learnPeer("peer", [sketch]);
  const after = meanRemaining(lengths.tailOf(key("a")), 0, most);
  t.ok(after < before / 2);
  t.end();
});

t.test("counts of a wrong size are ignored", (t) => {
  const lengths = new OutputLengths();
  const before = meanRemaining(lengths.tailOf(key("a")), 0, most);
  lengths.learnPeer("peer", [{ workClass: "tag", model, counts: [1, 2] }]);
  t.equal(meanRemaining(lengths.tailOf(key("a")), 0, most), before);
  t.end();
});

t.test("changed counts are handed out once", (t) => {
  const lengths = new OutputLengths();
  lengths.learn(key("a"), 10);
  t.equal(lengths.takeChanged().length, 1);
  t.equal(lengths.takeChanged().length, 0);
  t.end();
});
