import t from "tap";
import { KnownPrefixes } from "./known_prefixes.ts";

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
