import { KnownError, toFailure } from "@lavenderferry/errors";
import { MemoryTable } from "@lavenderferry/platform";
import t from "tap";
import type { Statement } from "./configuration.ts";
import { ConfigurationStore, effectiveStepMs } from "./configuration_store.ts";
import { VersionHistory } from "./version_history.ts";

const acceptedAt = 1_000_000;

t.test("one of two changes to the same version is accepted", async (t) => {
  const table = new MemoryTable();
  const stores = [new ConfigurationStore(table), new ConfigurationStore(table)];
  const results = await Promise.allSettled(
    stores.map((store, index) =>
      store.accept(createChange(`operator-${index}`))
    ),
  );
  t.strictSame(results.map(({ status }) => status).sort(), [
    "fulfilled",
    "rejected",
  ]);
  const rejected = results.find(({ status }) => status === "rejected");
  const { kind } = toFailure((rejected as PromiseRejectedResult).reason);
  t.equal(kind, "conflict");
  t.equal((await stores[0]?.readLatest())?.version, 1);
});

const faultCases: readonly {
  name: string;
  faults: readonly Fault[];
  expected: string;
  latest: number;
}[] = [
  { name: "no fault", faults: [], expected: "accepted", latest: 1 },
  { name: "a lost answer", faults: ["lost"], expected: "accepted", latest: 1 },
  {
    name: "repeated lost answers",
    faults: ["lost", "lost", "lost", "lost"],
    expected: "accepted",
    latest: 1,
  },
  {
    name: "an outage that ends before the last attempt",
    faults: ["refused", "refused"],
    expected: "accepted",
    latest: 1,
  },
  {
    name: "an outage that does not end",
    faults: ["refused", "refused", "refused", "refused", "refused"],
    expected: "store_unavailable, not run: true",
    latest: 0,
  },
  {
    name: "a lost answer and an outage that does not end",
    faults: ["lost", "down"],
    expected: "store_unavailable, not run: unknown",
    latest: 1,
  },
  {
    name: "a dropped commit and another operator's version",
    faults: ["dropped", "overtaken"],
    expected: "conflict, not run: true",
    latest: 1,
  },
];

for (const { name, faults, expected, latest } of faultCases) {
  t.test(`accept reports the true outcome after ${name}`, async (t) => {
    const table = new FaultyTable(faults);
    const store = new ConfigurationStore(table);
    const result = await store.accept(createChange("ida")).then(
      ({ author }) => author === "ida" ? "accepted" : "wrong author",
      (error: unknown) => {
        const { kind, notRun } = toFailure(error);
        return `${kind}, not run: ${notRun}`;
      },
    );
    t.equal(result, expected);
    table.endOutage();
    t.equal((await store.readLatest()).version, latest);
  });
}

t.test("a later version never takes effect earlier", async (t) => {
  const store = new ConfigurationStore(new MemoryTable());
  const requestedTimes = [5_000, 2_000, 5_000, 9_000];
  const effectiveTimes: number[] = [];
  for (const [ifVersion, effectiveAt] of requestedTimes.entries()) {
    const change = { ...createChange("ida"), ifVersion, effectiveAt };
    effectiveTimes.push((await store.accept(change)).effectiveAt);
  }
  t.strictSame(effectiveTimes, [5_000, 6_000, 7_000, 9_000]);
});

t.test("a delayed commit postpones the effective time", async (t) => {
  const clockTimes = [0, 0, 3_200];
  const table = new FaultyTable(["refused"]);
  const store = new ConfigurationStore(table, () => clockTimes.shift() ?? 0);
  const { effectiveAt } = await store.accept(createChange("ida"));
  t.equal(effectiveAt, createChange("ida").effectiveAt + 4 * effectiveStepMs);
});

t.test("the history has the version in force at any instant", async (t) => {
  const table = new MemoryTable();
  const store = new ConfigurationStore(table, () => acceptedAt);
  const count = 150;
  for (let ifVersion = 0; ifVersion < count; ifVersion++) {
    const effectiveAt = (ifVersion + 1) * 1_000;
    await store.accept({ ...createChange("ida"), ifVersion, effectiveAt });
  }
  const history = new VersionHistory(store);
  const end = count * 1_000;
  for (const from of [end, 140_000, 3_500, 0, 148_000]) {
    await history.loadVersions(from, end);
    t.equal(history.at(from).version, Math.floor(from / 1_000));
    t.equal(history.at(end).version, count);
  }
  const effectiveAt = end + 1_000;
  await store.accept({ ...createChange("ida"), ifVersion: count, effectiveAt });
  await history.loadVersions(end, effectiveAt);
  t.equal(history.at(effectiveAt).version, count + 1);
});

/**
 * - `refused`: the commit is refused before it runs
 * - `lost`: the commit is applied, but its answer is lost
 * - `dropped`: the commit does not reach the table
 * - `overtaken`: another operator's change is committed first
 * - `down`: reads fail after the previous commit, until the outage ends
 */
type Fault = "refused" | "lost" | "dropped" | "overtaken" | "down";

/** A table whose successive commits have the given faults. */
class FaultyTable extends MemoryTable {
  readonly #faults: Fault[];
  #down = false;

  constructor(faults: readonly Fault[]) {
    super();
    this.#faults = [...faults];
  }

  endOutage(): void {
    this.#down = false;
  }

  override async read(
    keys: readonly string[],
  ): ReturnType<MemoryTable["read"]> {
    if (this.#down) {
      throw unavailable(true);
    }
    return await super.read(keys);
  }

  override async commit(
    writes: Parameters<MemoryTable["commit"]>[0],
  ): ReturnType<MemoryTable["commit"]> {
    const fault = this.#faults.shift();
    if (fault === "refused") {
      throw unavailable(true);
    }
    if (fault === "dropped") {
      throw unavailable("unknown");
    }
    if (fault === "overtaken") {
      await new ConfigurationStore(this).accept(createChange("jan"));
    }
    const result = await super.commit(writes);
    this.#down = this.#faults[0] === "down";
    if (fault === "lost") {
      throw unavailable("unknown");
    }
    return result;
  }
}

// A number that operators were told was given to another change.
t.test("versions that a restored table has lost are written again", async (t) => {
  const table = new MemoryTable();
  const store = new ConfigurationStore(table);
  const first = await store.accept(createChange("ida"));
  const copy = table.copy();
  const second = await store.accept({ ...createChange("jan"), ifVersion: 1 });
  const third = await store.accept({ ...createChange("ewa"), ifVersion: 2 });
  table.restore(copy);
  t.equal((await store.readLatest()).version, 1);
  const written = await store.writeAgain([first, second, third]);
  t.strictSame(written.map(({ version }) => version), [2, 3]);
  t.strictSame(await store.readLatest(), third);
  t.strictSame(await store.readVersion(2), second);
  t.strictSame(await store.writeAgain([first, second, third]), []);
  const fourth = await store.accept({ ...createChange("ola"), ifVersion: 3 });
  t.equal(fourth.version, 4);
});

function unavailable(notRun: true | "unknown"): Error {
  return new KnownError("Fault", { kind: "store_unavailable", notRun });
}

function createChange(author: string): {
  ifVersion: number;
  author: string;
  statement: Statement;
  acceptedAt: number;
  effectiveAt: number;
} {
  return {
    ifVersion: 0,
    author,
    statement: { partners: {}, splits: {}, classes: {} },
    acceptedAt,
    effectiveAt: acceptedAt + 2_000,
  };
}
