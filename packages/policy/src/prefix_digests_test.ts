import t from "tap";
import { chainDigests, prefixDigests } from "./prefix_digests.ts";

// Each block was kept as the text of all blocks up to it, so that a prompt of
// thousands of blocks took some thousand times its own length.
t.test("the digests of a prompt's blocks have one length", (t) => {
  const blocks = ["0:1", "0:1", "f".repeat(9_000), ""];
  t.matchSnapshot(chainDigests(blocks).map((digest) => digest.length));
  t.strictSame(chainDigests([]), []);
  t.end();
});

// The same prompt is placed by many processes, and by one after its restart.
t.test("digests are the same in all processes", (t) => {
  t.matchSnapshot(chainDigests(["5c1e07a2:800", "91bd3f06:410"]));
  t.matchSnapshot(prefixDigests("a prompt ".repeat(60)));
  t.end();
});

t.test("a digest covers all blocks up to its own", (t) => {
  const [first, second, third] = chainDigests(["a:1", "b:2", "c:3"]);
  t.strictSame(chainDigests(["a:1", "b:2"]), [first, second]);
  t.not(chainDigests(["x:1", "b:2", "c:3"])[2], third);
  t.not(chainDigests(["b:2"])[0], second);
  t.end();
});
