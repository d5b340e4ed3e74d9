import t from "tap";
import { RowFollower } from "./row_follower.ts";

function row(key: string, version: number, value: string | null = key) {
  return { key, version, value };
}

function createFollower(): RowFollower {
  const follower = new RowFollower();
  const rows = [row("a", 3), row("b", 5)];
  follower.applyChanges({ rows, version: 7, lost: false });
  return follower;
}

t.test("changes are applied in the order of their versions", (t) => {
  const follower = createFollower();
  t.equal(follower.after, 7);
  const rows = [row("a", 8, null), row("c", 9)];
  t.equal(follower.applyChanges({ rows, version: 9, lost: false }), true);
  t.strictSame([...follower.rows.keys()], ["b", "c"]);
  t.equal(follower.after, 9);
  t.end();
});

t.test("outdated changes are ignored", (t) => {
  const follower = createFollower();
  follower.applyChanges({ rows: [row("a", 8, null)], version: 8, lost: false });
  const old = [row("a", 6, "old"), row("b", 4, "old")];
  t.equal(follower.applyChanges({ rows: old, version: 6, lost: false }), false);
  t.strictSame([...follower.rows.keys()], ["b"]);
  t.equal(follower.after, 8, "the newest version stays");
  t.end();
});

t.test("all rows are read again when the store has lost the changes", (t) => {
  const follower = createFollower();
  t.equal(follower.applyChanges({ rows: [], version: 0, lost: true }), false);
  t.equal(follower.after, null);
  t.equal(follower.rows.size, 2, "the rows stay until then");
  const rows = [row("b", 12, "new")];
  t.equal(follower.applyChanges({ rows, version: 14, lost: false }), true);
  t.strictSame([...follower.rows], [["b", { version: 12, value: "new" }]]);
  t.end();
});

t.test("an outdated full read is ignored", (t) => {
  const follower = createFollower();
  follower.applyChanges({ rows: [], version: 0, lost: true });
  t.equal(follower.applyChanges({ rows: [], version: 2, lost: false }), false);
  t.equal(follower.rows.size, 2);
  t.end();
});
