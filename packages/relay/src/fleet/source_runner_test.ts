import { KnownError } from "@lavenderferry/errors";
import type { Changes, CommitResult, Write } from "@lavenderferry/platform";
import t from "tap";
import { upstreamOf } from "../fixtures/relay_fixture.ts";
import type { RelayPorts } from "../ports.ts";
import type { RelayEvent } from "../relay_event.ts";
import { RelayFixture } from "../fixtures/relay_fixture.ts";
import { SourceRunner } from "./source_runner.ts";

interface Asked {
  readonly prefix: string;
  readonly after: number | null;
  readonly waitMs: number;
}

/** A store that answers what the test says. */
function runnerOf(answers: {
  readonly changes?: readonly (Changes | Error)[];
  readonly commits?: readonly CommitResult[];
}) {
  const asked: Asked[] = [];
  const writes: Write[] = [];
  const changes = [...answers.changes ?? []];
  const commits = [...answers.commits ?? []];
  const store = {
    changes: (prefix: string, after: number | null, waitMs: number) => {
      asked.push({ prefix, after, waitMs });
      const next = changes.shift();
      return next instanceof Error || next === undefined
        ? Promise.reject(next ?? new Error("nothing left"))
        : Promise.resolve(next);
    },
    read: () => Promise.resolve([]),
    scan: () => Promise.resolve([]),
    commit: (each: readonly Write[]) => {
      writes.push(...each);
      const next = commits.shift();
      return next === undefined
        ? Promise.reject(new Error("nothing left"))
        : Promise.resolve(next);
    },
  };
  const rows = {
    upstreams: "servers/",
    readUpstream: (key: string) => upstreamOf(key),
    routings: "op/",
    routing: "op/config",
    readRouting: () => null,
  };
  const ports = { store, rows } as unknown as RelayPorts;
  const { settings } = new RelayFixture().state;
  const { handlers } = new SourceRunner(ports, settings);
  const follow = () =>
    new Promise<RelayEvent>((resolve) =>
      handlers.follow_upstreams({ kind: "follow_upstreams" }, resolve)
    );
  const state = (leaving: boolean) =>
    new Promise<RelayEvent>((resolve) =>
      handlers.state_member({ kind: "state_member", leaving }, resolve)
    );
  return { asked, writes, follow, state };
}

const full = {
  rows: [{ key: "servers/a", version: 3, value: "x" }],
  version: 5,
  lost: false,
};

t.test("a full read does not wait, a feed does", async (t) => {
  const { asked, follow } = runnerOf({ changes: [full, full] });
  t.match(await follow(), { kind: "upstreams_learned", vms: [{}] });
  await follow();
  t.match(asked, [
    { prefix: "servers/", after: null, waitMs: 0 },
    { prefix: "servers/", after: 5, waitMs: 1_000 },
  ]);
});

t.test("a failure is told with its kind, and what was read stays", async (t) => {
  const down = new KnownError("down", { kind: "store_unavailable" });
  const { asked, follow } = runnerOf({ changes: [full, down, full] });
  await follow();
  t.match(await follow(), {
    kind: "upstreams_failed",
    error: "store_unavailable",
  });
  t.match(await follow(), { kind: "upstreams_learned", vms: [{}] });
  t.equal(asked.at(-1)?.after, 5);
});

t.test("a lost history is read again in full", async (t) => {
  const lost = { rows: [], version: 5, lost: true };
  const { asked, follow } = runnerOf({ changes: [full, lost, full] });
  await follow();
  t.match(await follow(), { vms: [{}] });
  await follow();
  t.match(asked.at(-1), { after: null, waitMs: 0 });
});

t.test("a member's row that an earlier run left is replaced", async (t) => {
  const key = "members/front-1";
  const { writes, state } = runnerOf({
    commits: [
      { kind: "conflict", rows: [{ key, version: 9, value: "old" }] },
      { kind: "committed", versions: [12] },
      { kind: "committed", versions: [14] },
    ],
  });
  t.match(await state(false), { kind: "member_failed", error: "conflict" });
  t.match(await state(false), { kind: "member_stated" });
  await state(true);
  t.match(writes, [
    { key, ifVersion: null, value: { state: "live" } },
    { key, ifVersion: 9 },
    { key, ifVersion: 12, value: { state: "leaving" } },
  ]);
});
