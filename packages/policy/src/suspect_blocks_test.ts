import fc from "fast-check";
import t from "tap";
import type { SuspectBlock } from "./suspect_blocks.ts";
import { SuspectBlocks } from "./suspect_blocks.ts";

const atMs = (monotonic: number) => ({ monotonic, wall: 0 });
const start = atMs(1_000);

/** Records the ends of engines e1, e2 and so on under prompts with blocks. */
function createSuspects(...prompts: readonly (readonly string[])[]) {
  const suspects = new SuspectBlocks();
  for (const [index, blocks] of prompts.entries()) {
    suspects.recordEnd(`e${index + 1}`, blocks, start);
  }
  return suspects;
}

t.test("a block under which three engines ended is quarantined", (t) => {
  const suspects = createSuspects(["a", "x"], ["b", "x"]);
  t.equal(suspects.findQuarantine(["c", "x"], start), undefined);
  suspects.recordEnd("e3", ["c", "x"], start);
  t.strictSame(suspects.findQuarantine(["d", "x"], start)?.blocks, ["x"]);
  t.equal(suspects.findQuarantine(["a", "b", "c"], start), undefined);
  t.end();
});

t.test("one engine counts once for a block", (t) => {
  const suspects = new SuspectBlocks();
  for (let index = 0; index < 5; index++) {
    suspects.recordEnd("e1", ["x"], start);
  }
  t.strictSame(suspects.quarantines, []);
  t.end();
});

t.test("blocks that always come together are quarantined together", (t) => {
  const suspects = createSuspects(["a", "x"], ["a", "x"], ["a", "x"]);
  t.ok(suspects.findQuarantine(["a", "x"], start));
  t.equal(suspects.findQuarantine(["a", "y"], start), undefined);
  t.equal(suspects.findQuarantine(["b", "x"], start), undefined);
  suspects.recordEnd("e4", ["b", "x"], start);
  t.strictSame(suspects.findQuarantine(["c", "x"], start)?.blocks, ["x"]);
  t.end();
});

t.test("a complete answer clears the blocks of its prompt", (t) => {
  const suspects = createSuspects(["a", "x"], ["a", "x"], ["a", "x"]);
  t.match(suspects.recordAnswer(["a", "y"], start), [
    { block: "a", clearances: 1, engines: [] },
  ]);
  t.strictSame(suspects.findQuarantine(["b", "x"], start)?.blocks, ["x"]);
  t.end();
});

t.test("a block that other prompts share is not quarantined with them", (t) => {
  const suspects = new SuspectBlocks();
  suspects.recordAnswer(["a"], start);
  for (const engine of ["e1", "e2", "e3", "e4"]) {
    suspects.recordEnd(engine, ["a", "x"], start);
  }
  t.strictSame(suspects.quarantines.map(({ blocks }) => blocks), [["x"]]);
  t.equal(suspects.findQuarantine(["a", "y"], start), undefined);
  t.end();
});

t.test("a block that was answered once needs more evidence", (t) => {
  const suspects = new SuspectBlocks();
  suspects.recordAnswer(["x"], start);
  for (let index = 0; index < 7; index++) {
    suspects.recordEnd(`e${index}`, ["x"], start);
  }
  t.equal(suspects.findQuarantine(["x"], start), undefined);
  suspects.recordEnd("e7", ["x"], start);
  t.ok(suspects.findQuarantine(["x"], start));
  t.end();
});

t.test("two causes are quarantined separately", (t) => {
  const suspects = createSuspects(["x"], ["x"], ["x"], ["y"], ["y"], ["y"]);
  t.strictSame(suspects.quarantines.map(({ blocks }) => blocks), [
    ["x"],
    ["y"],
  ]);
  t.end();
});

t.test("a quarantine ends when its records are too old", (t) => {
  const suspects = createSuspects(["x"], ["x"], ["x"]);
  const later = atMs(start.monotonic + 600_000);
  t.equal(suspects.findQuarantine(["x"], later), undefined);
  t.strictSame(suspects.takeRemoved(later), ["x"]);
  t.strictSame(suspects.quarantines, []);
  t.end();
});

t.test("a peer that answered a block clears it for the reporter", (t) => {
  const reporter = createSuspects(["a"], ["a"]);
  const peer = new SuspectBlocks();
  peer.recordAnswer(["a"], start);
  const [correction] = peer.merge(
    { block: "a", clearances: 0, engines: ["e1", "e2"] },
    start,
  );
  t.strictSame(correction, { block: "a", clearances: 1, engines: [] });
  t.match(reporter.merge(correction as SuspectBlock, start), [correction]);
  t.end();
});

t.test("the number of records is limited, the weakest are removed", (t) => {
  const suspects = createSuspects(["x"], ["x"], ["x"]);
  for (let index = 0; index < 300; index++) {
    suspects.recordEnd("e1", [`b${index}`], start);
  }
  t.ok(suspects.findQuarantine(["x"], start));
  const removed = suspects.takeRemoved(start);
  t.equal(removed.length, 45);
  t.equal(removed[0], "b0");
  t.strictSame(suspects.takeRemoved(start), []);
  t.end();
});

t.test("processes agree whatever the order of their records", (t) => {
  const record = fc.record({
    block: fc.constantFrom("a", "b"),
    clearances: fc.nat({ max: 2 }),
    engines: fc.uniqueArray(fc.constantFrom("e1", "e2", "e3", "e4")),
  });
  fc.assert(fc.property(
    fc.array(record, { maxLength: 12 }),
    fc.infiniteStream(fc.nat()),
    (records, order) => {
      const [first, second] = [new SuspectBlocks(), new SuspectBlocks()];
      const keyed = records.map((value) => ({
        value,
        key: order.next().value as number,
      }));
      const shuffled = keyed.sort((a, b) => a.key - b.key)
        .map(({ value }) => value);
      for (const value of records) {
        first.merge(value, start);
      }
      for (const value of [...shuffled, ...shuffled]) {
        second.merge(value, start);
      }
      const blocksOf = ({ quarantines }: SuspectBlocks) =>
        quarantines.map(({ blocks }) => [...blocks].sort().join())
          .sort();
      return JSON.stringify(blocksOf(first)) ===
        JSON.stringify(blocksOf(second));
    },
  ));
  t.end();
});
