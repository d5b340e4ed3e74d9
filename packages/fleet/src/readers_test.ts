import t from "tap";
import type { Member } from "./member.ts";
import { countReaders, rankOf, rankReaders, readerCount } from "./readers.ts";

function memberOf(index: number, change: Partial<Member> = {}): Member {
  return {
    id: `front-${index}`,
    epoch: "e",
    sequence: 1,
    state: "live",
    role: "entry",
    dataCentre: `dc-${index % 3}`,
    region: "north",
    address: `10.0.0.${index}:1`,
    peers: `10.0.0.${index}:2`,
    ...change,
  };
}

function membersOf(count: number): readonly Member[] {
  return Array.from({ length: count }, (_, index) => memberOf(index));
}

t.test("all members agree on the readers, whatever order they know them in", (t) => {
  const members = membersOf(40);
  const ranked = rankReaders(members).map(({ id }) => id);
  const reversed = rankReaders([...members].reverse()).map(({ id }) => id);
  t.strictSame(new Set(ranked.slice(0, 8)), new Set(reversed.slice(0, 8)));
  t.end();
});

t.test("each data centre has a reader", (t) => {
  const members = Array.from(
    { length: 60 },
    (_, index) => memberOf(index, { dataCentre: `dc-${index % 14}` }),
  );
  const ranked = rankReaders(members);
  const readers = ranked.slice(0, countReaders(ranked));
  t.equal(readers.length, 14);
  t.equal(new Set(readers.map(({ dataCentre }) => dataCentre)).size, 14);
  t.end();
});

t.test("a small fleet reads with all its members", (t) => {
  for (const count of [1, 2, readerCount]) {
    const members = membersOf(count);
    const ranks = members.map(({ id }) => rankOf(id, rankReaders(members)));
    t.strictSame(new Set(ranks), new Set(["reader"]), `${count} members`);
  }
  t.end();
});

t.test("members that are not live are replaced as readers", (t) => {
  const members = membersOf(40);
  const lost = new Set(
    rankReaders(members).slice(0, 8).map(({ id }) => id),
  );
  const after = members.map((member) =>
    lost.has(member.id) ? { ...member, state: "suspected" as const } : member
  );
  const ranked = rankReaders(after);
  t.equal(countReaders(ranked), readerCount);
  t.notOk(ranked.some(({ id }) => lost.has(id)));
  t.end();
});

t.test("a member that knows no other, or leaves, reads itself", (t) => {
  t.equal(rankOf("front-1", []), "reader");
  const leaving = memberOf(1, { state: "leaving" });
  const members = [...membersOf(40).slice(2), leaving];
  t.equal(rankOf("front-1", rankReaders(members)), "reader");
  t.end();
});

t.test("deputies read before others do", (t) => {
  const ranked = rankReaders(membersOf(60));
  const ranks = ranked.map(({ id }) => rankOf(id, ranked));
  t.strictSame(
    ["reader", "deputy", "other"].map((rank) =>
      ranks.filter((other) => other === rank).length
    ),
    [8, 24, 28],
  );
  t.end();
});
