import t from "tap";
import { KnownPrefixes, prefixCapacity } from "./known_prefixes.ts";

t.test("counts the leading blocks that are held", (t) => {
  const prefixes = new KnownPrefixes();
  prefixes.applyChange({ stored: ["a", "b", "d"], dropped: [], gap: false });
  t.equal(prefixes.countHeldBlocks(["a", "b", "c", "d"]), 2);
  t.equal(prefixes.countHeldBlocks(["x"]), 0);
  prefixes.applyChange({ stored: [], dropped: ["a"], gap: false });
  t.equal(prefixes.countHeldBlocks(["a", "b"]), 0);
  t.end();
});

t.test("discards earlier digests after a gap", (t) => {
  const prefixes = new KnownPrefixes();
  prefixes.addExpected(["a"]);
  prefixes.applyChange({ stored: ["b"], dropped: [], gap: true });
  t.equal(prefixes.countHeldBlocks(["a"]), 0);
  t.equal(prefixes.countHeldBlocks(["b"]), 1);
  t.end();
});

// One prompt of many blocks took the place of the prefixes of all others.
t.test("keeps the leading digests of prompts that exceed the capacity", (t) => {
  const prefixes = new KnownPrefixes();
  const digests = Array.from({ length: 9 }, (_, index) => `d${index}`);
  prefixes.addExpected(["old"], 4);
  prefixes.addExpected(digests, 4);
  t.equal(prefixes.size, 4);
  t.equal(prefixes.countHeldBlocks(digests), 4);
  t.end();
});

t.test("all engines of a pool share a bound", (t) => {
  const kept = (engines: number) => engines * prefixCapacity(engines);
  t.ok([1, 8, 60, 570, 5_700].every((engines) => kept(engines) <= 131_072));
  t.equal(prefixCapacity(8), 4_096);
  t.ok(prefixCapacity(5_700) >= 16);
  t.equal(prefixCapacity(0), 4_096);
  t.end();
});
