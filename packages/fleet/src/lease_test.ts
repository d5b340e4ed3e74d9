import type { Row, Write } from "@lavenderferry/platform";
import { MemoryTable } from "@lavenderferry/platform";
import type { Moment } from "@lavenderferry/runtime";
import { Random } from "@lavenderferry/runtime";
import t from "tap";
import type { LeaseWish } from "./lease.ts";
import {
  clockErrorMs,
  driftMarginMs,
  Lease,
  leaseMs,
  longestOrderMs,
  renewMs,
} from "./lease.ts";

const key = "lease/settlement/0";
const wallStart = 1_800_000_000_000;
const wanted: LeaseWish = { wanted: true, isLive: () => true };
const orphaned: LeaseWish = { wanted: true, isLive: () => false };
const unwanted: LeaseWish = { wanted: false, isLive: () => true };

function momentAt(milliseconds: number): Moment {
  return { monotonic: milliseconds, wall: wallStart + milliseconds };
}

function createLease(id: string): Lease {
  return new Lease(key, { id, epoch: `${id}1` });
}

/** Runs steps until the lease asks for nothing more. */
async function settle(
  lease: Lease,
  table: MemoryTable,
  { wish, at }: { readonly wish: LeaseWish; readonly at: Moment },
): Promise<void> {
  for (;;) {
    const action = lease.step(wish, at);
    if (action === null) {
      return;
    }
    if (action.kind === "read") {
      const [row = null] = await table.read([action.key]);
      lease.read(row, at);
    } else {
      lease.written(await table.commit([action.write]), at);
    }
  }
}

function writeOf(lease: Lease, wish: LeaseWish, at: Moment): Write {
  const action = lease.step(wish, at);
  if (action?.kind !== "write") {
    throw new Error("The lease asked for no write");
  }
  return action.write;
}

t.test("the holder stops before the deadline", async (t) => {
  const table = new MemoryTable();
  const lease = createLease("a");
  await settle(lease, table, { wish: wanted, at: momentAt(100) });
  const last = 100 + leaseMs - driftMarginMs - 1;
  t.equal(lease.fenceAt(momentAt(last)), 1);
  t.equal(lease.fenceAt(momentAt(last + 1)), null);
});

t.test("time counts from before the write was sent", (t) => {
  const lease = createLease("a");
  lease.step(wanted, momentAt(0));
  lease.read(null, momentAt(10));
  writeOf(lease, wanted, momentAt(10));
  lease.written({ kind: "committed", versions: [1] }, momentAt(3_000));
  t.equal(lease.fenceAt(momentAt(10 + leaseMs - driftMarginMs)), null);
  t.equal(lease.fenceAt(momentAt(10 + leaseMs - driftMarginMs - 1)), 1);
  t.end();
});

t.test("a renewal keeps the fence and a new holder raises it", async (t) => {
  const table = new MemoryTable();
  const [a, b] = [createLease("a"), createLease("b")];
  await settle(a, table, { wish: wanted, at: momentAt(0) });
  await settle(a, table, { wish: wanted, at: momentAt(renewMs) });
  t.equal(a.fenceAt(momentAt(leaseMs)), 1);
  const free = renewMs + leaseMs + clockErrorMs;
  await settle(b, table, { wish: orphaned, at: momentAt(free - 1) });
  t.equal(b.fenceAt(momentAt(free - 1)), null);
  await settle(b, table, { wish: orphaned, at: momentAt(free) });
  t.equal(b.fenceAt(momentAt(free)), 2);
  t.equal(a.fenceAt(momentAt(free)), null);
});

t.test("a live holder keeps its lease from a wrong wall clock", async (t) => {
  const table = new MemoryTable();
  const [a, b] = [createLease("a"), createLease("b")];
  await settle(a, table, { wish: wanted, at: momentAt(0) });
  const hourAhead = { monotonic: 10, wall: wallStart + 3_600_000 };
  await settle(b, table, { wish: wanted, at: hourAhead });
  t.equal(b.fenceAt(hourAhead), null);
  t.equal(a.fenceAt(momentAt(10)), 1);
});

t.test("a released lease is free at once", async (t) => {
  const table = new MemoryTable();
  const [a, b] = [createLease("a"), createLease("b")];
  await settle(a, table, { wish: wanted, at: momentAt(0) });
  await settle(a, table, { wish: unwanted, at: momentAt(500) });
  t.equal(a.fenceAt(momentAt(500)), null);
  await settle(b, table, { wish: wanted, at: momentAt(600) });
  t.equal(b.fenceAt(momentAt(600)), 2);
});

t.test("a holder that wakes late takes a new fence or none", async (t) => {
  const table = new MemoryTable();
  const [a, b] = [createLease("a"), createLease("b")];
  await settle(a, table, { wish: wanted, at: momentAt(0) });
  t.equal(a.fenceAt(momentAt(60_000)), null);
  await settle(b, table, { wish: orphaned, at: momentAt(60_000) });
  await settle(a, table, { wish: wanted, at: momentAt(60_100) });
  t.equal(a.fenceAt(momentAt(60_100)), null);
  t.equal(b.fenceAt(momentAt(60_100)), 2);
});

const lostAnswers = [
  { name: "took effect", applied: true, fence: 1 },
  { name: "did not take effect", applied: false, fence: 1 },
];

for (const { name, applied, fence } of lostAnswers) {
  t.test(`a lost answer of a write that ${name} is read back`, async (t) => {
    const table = new MemoryTable();
    const lease = createLease("a");
    lease.step(wanted, momentAt(0));
    lease.read(null, momentAt(0));
    const write = writeOf(lease, wanted, momentAt(0));
    if (applied) {
      await table.commit([write]);
    }
    lease.failed(false, momentAt(100));
    t.equal(lease.fenceAt(momentAt(100)), null);
    await settle(lease, table, { wish: wanted, at: momentAt(1_000) });
    t.equal(lease.fenceAt(momentAt(1_000)), fence);
  });
}

t.test("a write that lands late does not confuse the holder", async (t) => {
  const table = new MemoryTable();
  const lease = createLease("a");
  lease.step(wanted, momentAt(0));
  lease.read(null, momentAt(0));
  const late = writeOf(lease, wanted, momentAt(0));
  lease.failed(false, momentAt(100));
  lease.step(wanted, momentAt(1_000));
  lease.read(null, momentAt(1_000));
  const next = writeOf(lease, wanted, momentAt(1_000));
  await table.commit([late]);
  lease.written(await table.commit([next]), momentAt(1_010));
  t.equal(lease.fenceAt(momentAt(1_010)), null);
  await settle(lease, table, { wish: wanted, at: momentAt(1_020) });
  t.equal(lease.fenceAt(momentAt(1_020)), 2);
});

t.test("orders wait out the predecessor where fences go unchecked", async (t) => {
  const table = new MemoryTable();
  const [a, b] = [createLease("a"), createLease("b")];
  await settle(a, table, { wish: wanted, at: momentAt(0) });
  const taken = leaseMs + clockErrorMs;
  await settle(b, table, { wish: orphaned, at: momentAt(taken) });
  t.equal(b.mayOrder(momentAt(taken), true), true);
  t.equal(b.mayOrder(momentAt(taken), false), false);
  const clear = taken + clockErrorMs + longestOrderMs;
  t.equal(b.mayOrder(momentAt(clear), false), true);
});

t.test("two processes never hold a lease at the same time", async (t) => {
  for (let seed = 1; seed <= 40; seed++) {
    const random = new Random(seed);
    const table = new MemoryTable();
    const clockError = () => random.jitter(0, 0) + random.below(400) - 200;
    const holders = ["a", "b", "c"].map((id) => ({
      lease: createLease(id),
      skew: clockError(),
      pausedUntil: 0,
      flight: null as null | {
        due: number;
        lost: boolean;
        run: () => Promise<(at: Moment) => void>;
      },
    }));
    let highest = 0;
    for (let now = 0; now < 60_000; now += 100) {
      const fences = holders.flatMap(({ lease, skew }) =>
        lease.fenceAt({ monotonic: now, wall: wallStart + now + skew }) ?? []
      );
      t.ok(fences.length <= 1, `seed ${seed} at ${now}`);
      highest = Math.max(highest, ...fences);
      for (const holder of holders) {
        const at = { monotonic: now, wall: wallStart + now + holder.skew };
        if (random.below(200) === 0) {
          holder.pausedUntil = now + random.below(20_000);
        }
        if (now < holder.pausedUntil) {
          continue;
        }
        if (holder.flight !== null) {
          if (now >= holder.flight.due) {
            const { run, lost } = holder.flight;
            holder.flight = null;
            const finish = await run();
            if (lost) {
              holder.lease.failed(false, at);
            } else {
              finish(at);
            }
          }
          continue;
        }
        const wish = random.below(50) === 0 ? unwanted : orphaned;
        const action = holder.lease.step(wish, at);
        if (action !== null) {
          const { lease } = holder;
          holder.flight = {
            due: now + random.below(1_000),
            lost: random.below(10) === 0,
            run: async () => {
              if (action.kind === "read") {
                const [row = null]: readonly (Row | null)[] = await table.read([
                  key,
                ]);
                return (moment) => lease.read(row, moment);
              }
              const result = await table.commit([action.write]);
              return (moment) => lease.written(result, moment);
            },
          };
        }
      }
    }
    t.ok(highest > 1, "the lease moved");
  }
});
