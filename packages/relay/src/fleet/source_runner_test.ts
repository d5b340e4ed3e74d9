import { KnownError } from "@lavenderferry/errors";
import type {
  Changes,
  CommitResult,
  FeedWait,
  Row,
  Write,
} from "@lavenderferry/platform";
import type { Dispatch } from "@lavenderferry/runtime";
import t from "tap";
import { upstreamOf } from "../fixtures/relay_fixture.ts";
import type { RelayPorts } from "../ports.ts";
import type { SourceEffect } from "../relay_effect.ts";
import type { RelayEvent } from "../relay_event.ts";
import { RelayFixture } from "../fixtures/relay_fixture.ts";
import { SourceRunner } from "./source_runner.ts";

type SuspectsEffect = Extract<
  SourceEffect,
  { kind: "read_suspects" | "state_suspects" }
>;

interface ChangesQuery {
  readonly prefix: string;
  readonly after: number | null;
  /** Whether the store may wait for a change. */
  readonly isHeld: boolean;
}

/** Milliseconds for which reads of changes may be held. */
const heldMs = 60_000;

/** Creates a runner whose store gives these answers in turn. */
function createRunner(answers: {
  readonly changes?: readonly (Changes | Error)[];
  readonly commits?: readonly CommitResult[];
  readonly reads?: readonly (Row | null)[];
}) {
  const queries: ChangesQuery[] = [];
  const writes: Write[] = [];
  const changes = [...answers.changes ?? []];
  const commits = [...answers.commits ?? []];
  const store = {
    era: 0,
    changes: (prefix: string, after: number | null, { waitMs }: FeedWait) => {
      queries.push({ prefix, after, isHeld: waitMs > 0 && waitMs <= heldMs });
      const next = changes.shift();
      return next instanceof Error || next === undefined
        ? Promise.reject(next ?? new Error("No answer is left"))
        : Promise.resolve(next);
    },
    read: () => Promise.resolve(answers.reads ?? []),
    scan: () => Promise.resolve([]),
    commit: (batch: readonly Write[]) => {
      writes.push(...batch);
      const next = commits.shift();
      return next === undefined
        ? Promise.reject(new Error("No answer is left"))
        : Promise.resolve(next);
    },
  };
  const rows = {
    upstreamPrefix: "servers/",
    readUpstream: (key: string) => upstreamOf(key),
    routingPrefix: "op/",
    routingKey: "op/config",
    *readRouting() {
      return null;
    },
  };
  const ports = { store, rows } as unknown as RelayPorts;
  const { settings } = new RelayFixture().state;
  const { handlers } = new SourceRunner(ports, settings);
  /** Resolves to the result of an operation; the era has its own events. */
  const resultOf = (start: (dispatch: Dispatch<RelayEvent>) => void) =>
    new Promise<RelayEvent>((resolve) =>
      start((event) => {
        if (event.kind === "store_era_learned") {
          eras.push(event.era);
        } else {
          resolve(event);
        }
      })
    );
  const eras: number[] = [];
  const follow = () =>
    resultOf((dispatch) =>
      handlers.follow_upstreams({
        kind: "follow_upstreams",
        heldUntil: performance.now() + heldMs,
        deadline: null,
      }, dispatch)
    );
  const writeMember = (leaving: boolean) =>
    resultOf((dispatch) =>
      handlers.state_member({ kind: "state_member", leaving }, dispatch)
    );
  const run = (effect: SuspectsEffect) =>
    resultOf((dispatch) => {
      if (effect.kind === "read_suspects") {
        handlers.read_suspects(effect, dispatch);
      } else {
        handlers.state_suspects(effect, dispatch);
      }
    });
  return { store, eras, queries, writes, follow, writeMember, run };
}

const fullRead = {
  rows: [{ key: "servers/a", version: 3, value: "x" }],
  version: 5,
  lost: false,
};

t.test("a full read does not wait, a read of changes does", async (t) => {
  const { queries, follow } = createRunner({ changes: [fullRead, fullRead] });
  t.match(await follow(), { kind: "upstreams_learned", vms: [{}] });
  await follow();
  t.match(queries, [
    { prefix: "servers/", after: null, isHeld: false },
    { prefix: "servers/", after: 5, isHeld: true },
  ]);
});

t.test("a failed read reports its error kind and loses no rows", async (t) => {
  const down = new KnownError("down", { kind: "store_unavailable" });
  const { queries, follow } = createRunner({
    changes: [fullRead, down, fullRead],
  });
  await follow();
  t.match(await follow(), {
    kind: "upstreams_failed",
    error: "store_unavailable",
  });
  t.match(await follow(), { kind: "upstreams_learned", vms: [{}] });
  t.equal(queries.at(-1)?.after, 5);
});

t.test("a lost history causes a full read", async (t) => {
  const lost = { rows: [], version: 5, lost: true };
  const { queries, follow } = createRunner({
    changes: [fullRead, lost, fullRead],
  });
  await follow();
  t.match(await follow(), { vms: [{}] });
  t.match(queries.at(-1), { after: null, isHeld: false });
  t.equal(queries.length, 3);
});

t.test("a member row of an earlier run is replaced", async (t) => {
  const key = "members/front-1";
  const { writes, writeMember } = createRunner({
    commits: [
      { kind: "conflict", rows: [{ key, version: 9, value: "old" }] },
      { kind: "committed", versions: [12] },
      { kind: "committed", versions: [14] },
    ],
  });
  t.match(await writeMember(false), {
    kind: "member_failed",
    error: "conflict",
  });
  t.match(await writeMember(false), { kind: "member_written" });
  await writeMember(true);
  t.match(writes, [
    { key, ifVersion: null, value: { state: "live" } },
    { key, ifVersion: 9 },
    { key, ifVersion: 12, value: { state: "leaving" } },
  ]);
});

t.test("the quarantine row is read, and written over its latest version", async (t) => {
  const key = "quarantine/blocks";
  const records = [
    { block: "bad", clearances: 0, ends: ["a/1"], changedAt: 5 },
  ];
  const { writes, run } = createRunner({
    reads: [{ key, version: 4, value: records }],
    commits: [
      { kind: "conflict", rows: [{ key, version: 9, value: [] }] },
      { kind: "committed", versions: [12] },
    ],
  });
  t.strictSame(await run({ kind: "read_suspects" }), {
    kind: "suspects_learned",
    records,
  });
  const write = { kind: "state_suspects", records } as const;
  t.match(await run(write), { kind: "suspects_conflicted", records: [] });
  t.match(await run(write), { kind: "suspects_written" });
  t.strictSame(writes, [
    { key, ifVersion: 4, value: records },
    { key, ifVersion: 9, value: records },
  ]);
});

t.test("a missing or unreadable quarantine row holds no records", async (t) => {
  const key = "quarantine/blocks";
  for (const value of [undefined, "text", [{ block: 1 }]]) {
    const reads = value === undefined ? [null] : [{ key, version: 4, value }];
    const { run } = createRunner({ reads });
    t.match(await run({ kind: "read_suspects" }), {
      kind: "suspects_learned",
      records: [],
    });
  }
});

t.test("each era of the store is reported once, before what was read in it", async (t) => {
  const { store, eras, follow } = createRunner({
    changes: [fullRead, fullRead, fullRead, new Error("down"), fullRead],
  });
  store.era = 3;
  await follow();
  await follow();
  t.strictSame(eras, [3]);
  store.era = 4;
  await follow();
  t.strictSame(eras, [3, 4]);
  store.era = 5;
  t.match(await follow(), { kind: "upstreams_failed" });
  await follow();
  t.strictSame(eras, [3, 4, 5]);
});
