import t from "tap";
import { PlatformClient } from "./platform_client.ts";
import {
  eraOf,
  maxEra,
  toStoreVersion,
  versionInEra,
} from "./store_version.ts";
import type { Operation, Reply } from "./transport.ts";

/** Answers to operations by their kinds; each is used until it is replaced. */
type Answers = { [Kind in Operation["kind"]]?: Reply | Promise<Reply> };

const row = { key: "k", version: 4, value: 1 };

function changesIn(era: number | undefined, version: number): Reply {
  return { status: 200, body: { rows: [row], version, lost: false }, era };
}

function rowsIn(era: number): Reply {
  return { status: 200, body: { rows: [row] }, era };
}

function createClient(answers: Answers) {
  const sent: Operation[] = [];
  const client = new PlatformClient({
    transport: {
      send: async (operation) => {
        sent.push(operation);
        const reply = await answers[operation.kind];
        return reply ?? { status: 503, body: "" };
      },
      close: () => Promise.resolve(),
    },
  });
  return { client, sent };
}

function failureOf(operation: Promise<unknown>): Promise<unknown> {
  return operation.then(() => undefined, (error: unknown) => error);
}

t.test("a version of a later era is newer, whatever its number", (t) => {
  t.ok(toStoreVersion(2, 1) > toStoreVersion(1, 1_000_000));
  const version = toStoreVersion(maxEra, 7);
  t.ok(Number.isSafeInteger(version));
  t.equal(eraOf(version), maxEra);
  t.equal(versionInEra(version), 7);
  t.throws(() => toStoreVersion(0, 2 ** 40), RangeError);
  t.end();
});

t.test("a follower of a restored table is told to read all rows", async (t) => {
  const answers: Answers = { changes: changesIn(1, 9) };
  const { client, sent } = createClient(answers);
  const first = await client.changes("a/", null, { waitMs: 0 });
  t.match(first, { version: toStoreVersion(1, 9), lost: false });
  // The restored table has counted past the version, so the feed goes on.
  answers.changes = changesIn(2, 30);
  const missed = await client.changes("a/", first.version, { waitMs: 0 });
  t.match(missed, { lost: true }, "the first answer of the new era");
  const outdated = await client.changes("a/", first.version, { waitMs: 0 });
  t.match(outdated, { lost: true }, "an outdated version is not asked for");
  t.equal(sent.length, 2);
  t.match(await client.changes("a/", null, { waitMs: 0 }), {
    rows: [{ version: toStoreVersion(2, 4) }],
    version: toStoreVersion(2, 30),
    lost: false,
  });
});

t.test("an answer from before the restore that arrives late is refused", async (t) => {
  const answers: Answers = { read: rowsIn(2), changes: changesIn(1, 9) };
  const { client } = createClient(answers);
  await client.read(["k"], "leases");
  t.equal(client.era, 2);
  t.match(await failureOf(client.changes("a/", null, { waitMs: 0 })), {
    kind: "store_unavailable",
  });
  t.equal(client.era, 2);
});

t.test("a write under a version from before the restore is a conflict", async (t) => {
  const answers: Answers = { read: rowsIn(1) };
  const { client, sent } = createClient(answers);
  const [known] = await client.read(["k"], "leases");
  answers.read = rowsIn(2);
  await client.read(["other"], "leases");
  const ifVersion = known?.version ?? null;
  const result = await client.commit(
    [{ key: "k", ifVersion, value: 2 }],
    "leases",
  );
  const version = toStoreVersion(2, 4);
  t.strictSame(result, { kind: "conflict", rows: [{ ...row, version }] });
  t.notOk(sent.some(({ kind }) => kind === "commit"));
});

t.test("a write during which the table was restored has an unknown outcome", async (t) => {
  const answers: Answers = {
    read: rowsIn(1),
    commit: { status: 200, body: { versions: [5] }, era: 2 },
  };
  const { client } = createClient(answers);
  const [known] = await client.read(["k"], "leases");
  const ifVersion = known?.version ?? null;
  const write = client.commit([{ key: "k", ifVersion, value: 2 }], "leases");
  t.match(await failureOf(write), {
    kind: "store_unavailable",
    notRun: "unknown",
  });
  const unconditional = { key: "new", ifVersion: null, value: 2 };
  t.match(await client.commit([unconditional], "leases"), {
    kind: "committed",
    versions: [toStoreVersion(2, 5)],
  });
});

t.test("an answer without a usable era belongs to the era that is known", async (t) => {
  for (const era of [undefined, maxEra + 1]) {
    const answers: Answers = { changes: changesIn(3, 9) };
    const { client } = createClient(answers);
    await client.changes("a/", null, { waitMs: 0 });
    answers.changes = changesIn(era, 10);
    const { version } = await client.changes("a/", null, { waitMs: 0 });
    t.equal(version, toStoreVersion(3, 10));
  }
});

// The refused answer was that of the probe, and no other was sent.
t.test("a late answer to a probe does not keep the circuit half open", async (t) => {
  const answers: Answers = { read: rowsIn(2) };
  const { client } = createClient(answers);
  const read = () => client.read(["k"], "leases");
  await read();
  answers.read = { status: 503, body: "" };
  while (client.circuit === "closed") {
    await failureOf(read());
  }
  answers.read = rowsIn(1);
  const readUntil = async (isDone: () => boolean) => {
    while (!isDone()) {
      await failureOf(read());
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  };
  const lateUntil = performance.now() + 600;
  await readUntil(() => performance.now() > lateUntil);
  answers.read = rowsIn(2);
  const deadline = performance.now() + 4_000;
  await readUntil(() =>
    client.circuit === "closed" || performance.now() > deadline
  );
  t.equal(client.circuit, "closed");
});

// It waited for changes after a version that the restored table has passed.
t.test("a feed that waits is ended when another answer names a later era", async (t) => {
  const never = new Promise<Reply>(() => undefined);
  const answers: Answers = { read: rowsIn(1), changes: changesIn(1, 9) };
  const { client } = createClient(answers);
  const { version } = await client.changes("a/", null, { waitMs: 0 });
  answers.changes = never;
  const feed = client.changes("a/", version, { waitMs: 2_500 });
  answers.read = rowsIn(2);
  await client.read(["k"], "leases");
  t.match(await feed, { rows: [], lost: true });
});
