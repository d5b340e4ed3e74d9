import { KnownError, toFailure } from "@lavenderferry/errors";
import { MemoryTable } from "@lavenderferry/platform";
import t from "tap";
import type { Statement } from "./configuration.ts";
import { ConfigurationStore, effectiveStepMs } from "./configuration_store.ts";
import { VersionHistory } from "./version_history.ts";

const acceptedAt = 1_000_000;

t.test("one of two operators over the same version wins", async (t) => {
  const table = new MemoryTable();
  const stores = [new ConfigurationStore(table), new ConfigurationStore(table)];
  const results = await Promise.allSettled(
    stores.map((store, index) => store.accept(changeOf(`operator-${index}`))),
  );
  t.strictSame(results.map(({ status }) => status).sort(), [
    "fulfilled",
    "rejected",
  ]);
  const lost = results.find(({ status }) => status === "rejected");
  const { kind } = toFailure((lost as PromiseRejectedResult).reason);
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
    name: "lost answers until the end",
    faults: ["lost", "lost", "lost", "lost"],
    expected: "accepted",
    latest: 1,
  },
  {
    name: "a table that comes back",
    faults: ["refused", "refused"],
    expected: "accepted",
    latest: 1,
  },
  {
    name: "a table that stays away",
    faults: ["refused", "refused", "refused", "refused", "refused"],
    expected: "store_unavailable, not run: true",
    latest: 0,
  },
  {
    name: "a lost answer and a table that stays away",
    faults: ["lost", "down"],
    expected: "store_unavailable, not run: unknown",
    latest: 1,
  },
  {
    name: "a lost answer before another operator's version",
    faults: ["dropped", "overtaken"],
    expected: "conflict, not run: true",
    latest: 1,
  },
];

for (const { name, faults, expected, latest } of faultCases) {
  t.test(`the answer is true after ${name}`, async (t) => {
    const table = new FaultyTable(faults);
    const store = new ConfigurationStore(table);
    const result = await store.accept(changeOf("ida")).then(
      ({ author }) => author === "ida" ? "accepted" : "wrong author",
      (error: unknown) => {
        const { kind, notRun } = toFailure(error);
        return `${kind}, not run: ${notRun}`;
      },
    );
    t.equal(result, expected);
    table.comeBack();
    t.equal((await store.readLatest()).version, latest);
  });
}

t.test("a later version never takes force earlier", async (t) => {
  const store = new ConfigurationStore(new MemoryTable());
  const clocks = [5_000, 2_000, 5_000, 9_000];
  const times: number[] = [];
  for (const [ifVersion, effectiveAt] of clocks.entries()) {
    const change = { ...changeOf("ida"), ifVersion, effectiveAt };
    times.push((await store.accept(change)).effectiveAt);
  }
  t.strictSame(times, [5_000, 6_000, 7_000, 9_000]);
});

t.test("a repeated commit takes force after the repetition", async (t) => {
  const times = [0, 0, 3_200];
  const table = new FaultyTable(["refused"]);
  const store = new ConfigurationStore(table, () => times.shift() ?? 0);
  const { effectiveAt } = await store.accept(changeOf("ida"));
  t.equal(effectiveAt, changeOf("ida").effectiveAt + 4 * effectiveStepMs);
});

t.test("the history answers for every instant", async (t) => {
  const table = new MemoryTable();
  const store = new ConfigurationStore(table, () => acceptedAt);
  const count = 150;
  for (let ifVersion = 0; ifVersion < count; ifVersion++) {
    const effectiveAt = (ifVersion + 1) * 1_000;
    await store.accept({ ...changeOf("ida"), ifVersion, effectiveAt });
  }
  const history = new VersionHistory(store);
  const end = count * 1_000;
  for (const from of [end, 140_000, 3_500, 0, 148_000]) {
    await history.cover(from, end);
    t.equal(history.at(from).version, Math.floor(from / 1_000));
    t.equal(history.at(end).version, count);
  }
  const effectiveAt = end + 1_000;
  await store.accept({ ...changeOf("ida"), ifVersion: count, effectiveAt });
  await history.cover(end, effectiveAt);
  t.equal(history.at(effectiveAt).version, count + 1);
});

type Fault = "refused" | "lost" | "dropped" | "overtaken" | "down";

/** A table whose commits meet the given faults, one after another. */
class FaultyTable extends MemoryTable {
  readonly #faults: Fault[];
  #down = false;

  constructor(faults: readonly Fault[]) {
    super();
    this.#faults = [...faults];
  }

  /** Ends the outage. */
  comeBack(): void {
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
      await new ConfigurationStore(this).accept(changeOf("jan"));
    }
    const result = await super.commit(writes);
    this.#down = this.#faults[0] === "down";
    if (fault === "lost") {
      throw unavailable("unknown");
    }
    return result;
  }
}

function unavailable(notRun: true | "unknown"): Error {
  return new KnownError("Fault", { kind: "store_unavailable", notRun });
}

function changeOf(author: string): {
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
