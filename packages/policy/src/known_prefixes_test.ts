import t from "tap";
import { KnownPrefixes } from "./known_prefixes.ts";

t.test("held blocks count from the first", (t) => {
  const prefixes = new KnownPrefixes();
  prefixes.take({ stored: ["a", "b", "d"], dropped: [], gap: false });
  t.equal(prefixes.match(["a", "b", "c", "d"]), 2);
  t.equal(prefixes.match(["x"]), 0);
  prefixes.take({ stored: [], dropped: ["a"], gap: false });
  t.equal(prefixes.match(["a", "b"]), 0);
  t.end();
});

t.test("after a gap nothing older is believed", (t) => {
  const prefixes = new KnownPrefixes();
  prefixes.expect(["a"]);
  prefixes.take({ stored: ["b"], dropped: [], gap: true });
  t.equal(prefixes.match(["a"]), 0);
  t.equal(prefixes.match(["b"]), 1);
  t.end();
});
