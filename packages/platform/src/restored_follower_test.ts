import fc from "fast-check";
import t from "tap";
import { PlatformClient } from "./platform_client.ts";
import { RowFollower } from "./row_follower.ts";
import type { RowChange } from "./table.ts";
import type { Operation, Reply } from "./transport.ts";

interface Snapshot {
  readonly version: number;
  readonly rows: ReadonlyMap<string, RowChange>;
  readonly changes: readonly RowChange[];
}

/** A table that is restored from its own older snapshots. */
class RestoredTable {
  era = 1;
  #snapshots: readonly Snapshot[] = [
    { version: 1, rows: new Map(), changes: [] },
  ];

  get newest(): Snapshot {
    const newest = this.#snapshots.at(-1);
    if (newest === undefined) {
      throw new Error("The table has no snapshot");
    }
    return newest;
  }

  /** Writes a value to a row; `null` removes it. */
  write(key: string, value: number | null): void {
    const { version, rows, changes } = this.newest;
    const change = { key, version: version + 1, value };
    const next = new Map(rows);
    next.delete(key);
    if (value !== null) {
      next.set(key, change);
    }
    const snapshot = {
      version: version + 1,
      rows: next,
      changes: [...changes, change],
    };
    this.#snapshots = [...this.#snapshots, snapshot];
  }

  restore(age: number): void {
    const copy = this.#snapshots.at(-1 - age) ?? this.#snapshots[0];
    this.#snapshots = copy === undefined ? [] : [copy];
    this.era += 1;
  }

  /** Answers a read of changes as of now. */
  answer(after: number | null): Reply {
    const { version, rows, changes } = this.newest;
    const { era } = this;
    if (after !== null && after > version) {
      const body = { rows: [], version: after, lost: true };
      return { status: 200, body, era };
    }
    const found = after === null
      ? [...rows.values()]
      : changes.filter((change) => change.version > after);
    return { status: 200, body: { rows: found, version, lost: false }, era };
  }
}

/** What happens to a read and its answer. */
type Delivery =
  | "now"
  | "lost"
  | "restored_before"
  | "restored_after"
  /** Another operation learns of the restore before the answer arrives. */
  | "overtaken";

/** One process that follows the table over a connection with faults. */
class Process {
  readonly follower = new RowFollower();
  readonly #table: RestoredTable;
  readonly #client: PlatformClient;
  #delivery: Delivery = "now";

  constructor(table: RestoredTable) {
    this.#table = table;
    this.#client = new PlatformClient({
      transport: {
        send: (operation) => this.#send(operation),
        close: () => Promise.resolve(),
      },
    });
  }

  /** Reads once; returns whether an answer was applied. */
  async read(delivery: Delivery): Promise<boolean> {
    this.#delivery = delivery;
    const { after } = this.follower;
    try {
      this.follower.applyChanges(
        await this.#client.changes("a/", after, { waitMs: 0 }),
      );
      return true;
    } catch {
      return false;
    }
  }

  /** Reads without faults until the follower has the newest rows. */
  async synchronize(): Promise<void> {
    const deadline = performance.now() + 5_000;
    for (let reads = 0; reads < 3 && performance.now() < deadline;) {
      if (await this.read("now")) {
        reads += 1;
      } else {
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
    }
  }

  async #send(operation: Operation): Promise<Reply> {
    const table = this.#table;
    if (operation.kind !== "changes") {
      return { status: 200, body: { rows: [] }, era: table.era };
    }
    const { after } = operation;
    if (this.#delivery === "restored_before") {
      table.restore(1);
    }
    const reply = table.answer(after);
    if (this.#delivery === "lost") {
      throw new Error("The answer was lost");
    }
    if (
      this.#delivery === "restored_after" || this.#delivery === "overtaken"
    ) {
      table.restore(1);
    }
    if (this.#delivery === "overtaken") {
      await this.#client.scan("b/", "leases");
    }
    return reply;
  }
}

type Step =
  | {
    readonly kind: "write";
    readonly key: string;
    readonly value: number | null;
  }
  | { readonly kind: "restore"; readonly age: number }
  | { readonly kind: "read"; readonly delivery: Delivery };

const anyStep: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("write" as const),
      key: fc.constantFrom("a/1", "a/2", "a/3"),
      value: fc.option(fc.nat(9)),
    }),
  },
  fc.record({
    kind: fc.constant("restore" as const),
    age: fc.integer({ min: 0, max: 8 }),
  }),
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("read" as const),
      delivery: fc.constantFrom<Delivery>(
        "now",
        "now",
        "now",
        "lost",
        "restored_before",
        "restored_after",
        "overtaken",
      ),
    }),
  },
);

async function followRestores(steps: readonly Step[]): Promise<void> {
  const table = new RestoredTable();
  const process = new Process(table);
  for (const step of steps) {
    const { version } = process.follower;
    if (step.kind === "write") {
      table.write(step.key, step.value);
    } else if (step.kind === "restore") {
      table.restore(step.age);
    } else {
      await process.read(step.delivery);
    }
    if (process.follower.version < version) {
      throw new Error("The follower has gone back");
    }
  }
  await process.synchronize();
  const followed = [...process.follower.rows]
    .map(([key, { value }]) => `${key}=${String(value)}`).sort();
  const stored = [...table.newest.rows.values()]
    .map(({ key, value }) => `${key}=${String(value)}`).sort();
  if (followed.join() !== stored.join()) {
    throw new Error(`Followed ${followed.join()}, stored ${stored.join()}`);
  }
}

// Rows of a restored table were taken for older than those that were known.
t.test("a follower has the newest rows after restores at any moment", async (t) => {
  const steps = fc.array(anyStep, { maxLength: 40, size: "max" });
  const seed = Number(process.env["RESTORED_FOLLOWER_SEED"] ?? 29);
  const property = fc.asyncProperty(steps, followRestores);
  await t.resolves(fc.assert(property, { seed, numRuns: 300 }));
});
