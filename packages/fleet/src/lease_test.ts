import type { Row, Write } from "@lavenderferry/platform";
import { MemoryTable, toStoreVersion } from "@lavenderferry/platform";
import type { Moment } from "@lavenderferry/runtime";
import { Random } from "@lavenderferry/runtime";
import t from "tap";
import type { LeaseIntent } from "./lease.ts";
import {
  driftMarginMs,
  Lease,
  leaseDurationMs,
  maxClockErrorMs,
  maxOrderFlightMs,
  renewalIntervalMs,
} from "./lease.ts";

const key = "lease/settlement/0";
const wallStart = 1_800_000_000_000;
const wanted: LeaseIntent = { wanted: true, isLive: () => true };
const orphaned: LeaseIntent = { wanted: true, isLive: () => false };
const unwanted: LeaseIntent = { wanted: false, isLive: () => true };

function momentAt(milliseconds: number): Moment {
  return { monotonic: milliseconds, wall: wallStart + milliseconds };
}

function createLease(id: string): Lease {
  return new Lease(key, { id, epoch: `${id}1` });
}

/** Runs the lease's operations until none is due. */
async function runAll(
  lease: Lease,
  table: MemoryTable,
  { intent, at }: { readonly intent: LeaseIntent; readonly at: Moment },
): Promise<void> {
  for (;;) {
    const action = lease.step(intent, at);
    if (action === null) {
      return;
    }
    if (action.kind === "read") {
      const [row = null] = await table.read([action.key]);
      lease.rowRead(row, at);
    } else {
      lease.writeCompleted(await table.commit([action.write]), at);
    }
  }
}

function expectWrite(lease: Lease, intent: LeaseIntent, at: Moment): Write {
  const action = lease.step(intent, at);
  if (action?.kind !== "write") {
    throw new Error("The lease returned no write");
  }
  return action.write;
}

t.test("the holder stops using the lease before its deadline", async (t) => {
  const table = new MemoryTable();
  const lease = createLease("a");
  await runAll(lease, table, { intent: wanted, at: momentAt(100) });
  const lastHeldMs = 100 + leaseDurationMs - driftMarginMs - 1;
  t.equal(lease.fenceAt(momentAt(lastHeldMs)), 1);
  t.equal(lease.fenceAt(momentAt(lastHeldMs + 1)), null);
});

t.test("the lease duration counts from before the write is sent", (t) => {
  const lease = createLease("a");
  lease.step(wanted, momentAt(0));
  lease.rowRead(null, momentAt(10));
  expectWrite(lease, wanted, momentAt(10));
  lease.writeCompleted({ kind: "committed", versions: [1] }, momentAt(3_000));
  t.equal(lease.fenceAt(momentAt(10 + leaseDurationMs - driftMarginMs)), null);
  t.equal(lease.fenceAt(momentAt(10 + leaseDurationMs - driftMarginMs - 1)), 1);
  t.end();
});

t.test("a renewal keeps the fence and a new holder raises it", async (t) => {
  const table = new MemoryTable();
  const [a, b] = [createLease("a"), createLease("b")];
  await runAll(a, table, { intent: wanted, at: momentAt(0) });
  await runAll(a, table, { intent: wanted, at: momentAt(renewalIntervalMs) });
  t.equal(a.fenceAt(momentAt(leaseDurationMs)), 1);
  const freeAt = renewalIntervalMs + leaseDurationMs + maxClockErrorMs;
  await runAll(b, table, { intent: orphaned, at: momentAt(freeAt - 1) });
  t.equal(b.fenceAt(momentAt(freeAt - 1)), null);
  await runAll(b, table, { intent: orphaned, at: momentAt(freeAt) });
  t.equal(b.fenceAt(momentAt(freeAt)), 2);
  t.equal(a.fenceAt(momentAt(freeAt)), null);
});

t.test("a wrong wall clock does not make a process take a live lease", async (t) => {
  const table = new MemoryTable();
  const [a, b] = [createLease("a"), createLease("b")];
  await runAll(a, table, { intent: wanted, at: momentAt(0) });
  const hourAhead = { monotonic: 10, wall: wallStart + 3_600_000 };
  await runAll(b, table, { intent: wanted, at: hourAhead });
  t.equal(b.fenceAt(hourAhead), null);
  t.equal(a.fenceAt(momentAt(10)), 1);
});

t.test("a released lease can be acquired at once", async (t) => {
  const table = new MemoryTable();
  const [a, b] = [createLease("a"), createLease("b")];
  await runAll(a, table, { intent: wanted, at: momentAt(0) });
  await runAll(a, table, { intent: unwanted, at: momentAt(500) });
  t.equal(a.fenceAt(momentAt(500)), null);
  await runAll(b, table, { intent: wanted, at: momentAt(600) });
  t.equal(b.fenceAt(momentAt(600)), 2);
});

t.test("a holder resumed after expiry does not keep its fence", async (t) => {
  const table = new MemoryTable();
  const [a, b] = [createLease("a"), createLease("b")];
  await runAll(a, table, { intent: wanted, at: momentAt(0) });
  t.equal(a.fenceAt(momentAt(60_000)), null);
  await runAll(b, table, { intent: orphaned, at: momentAt(60_000) });
  await runAll(a, table, { intent: wanted, at: momentAt(60_100) });
  t.equal(a.fenceAt(momentAt(60_100)), null);
  t.equal(b.fenceAt(momentAt(60_100)), 2);
});

const lostAnswers = [
  { name: "took effect", applied: true, fence: 1 },
  { name: "did not take effect", applied: false, fence: 1 },
];

for (const { name, applied, fence } of lostAnswers) {
  t.test(`a write that ${name} is read back when its answer is lost`, async (t) => {
    const table = new MemoryTable();
    const lease = createLease("a");
    lease.step(wanted, momentAt(0));
    lease.rowRead(null, momentAt(0));
    const write = expectWrite(lease, wanted, momentAt(0));
    if (applied) {
      await table.commit([write]);
    }
    lease.operationFailed(false, momentAt(100));
    t.equal(lease.fenceAt(momentAt(100)), null);
    await runAll(lease, table, { intent: wanted, at: momentAt(1_000) });
    t.equal(lease.fenceAt(momentAt(1_000)), fence);
  });
}

t.test("a delayed write does not make its owner the holder", async (t) => {
  const table = new MemoryTable();
  const lease = createLease("a");
  lease.step(wanted, momentAt(0));
  lease.rowRead(null, momentAt(0));
  const lateWrite = expectWrite(lease, wanted, momentAt(0));
  lease.operationFailed(false, momentAt(100));
  lease.step(wanted, momentAt(1_000));
  lease.rowRead(null, momentAt(1_000));
  const nextWrite = expectWrite(lease, wanted, momentAt(1_000));
  await table.commit([lateWrite]);
  lease.writeCompleted(await table.commit([nextWrite]), momentAt(1_010));
  t.equal(lease.fenceAt(momentAt(1_010)), null);
  await runAll(lease, table, { intent: wanted, at: momentAt(1_020) });
  t.equal(lease.fenceAt(momentAt(1_020)), 2);
});

t.test("orders to an engine that does not check fences are delayed", async (t) => {
  const table = new MemoryTable();
  const [a, b] = [createLease("a"), createLease("b")];
  await runAll(a, table, { intent: wanted, at: momentAt(0) });
  const takenAt = leaseDurationMs + maxClockErrorMs;
  await runAll(b, table, { intent: orphaned, at: momentAt(takenAt) });
  t.equal(b.maySendOrders(momentAt(takenAt), true), true);
  t.equal(b.maySendOrders(momentAt(takenAt), false), false);
  const clearAt = takenAt + maxClockErrorMs + maxOrderFlightMs;
  t.equal(b.maySendOrders(momentAt(clearAt), false), true);
});

t.test("two processes never hold a lease at the same time", async (t) => {
  for (let seed = 1; seed <= 40; seed++) {
    const random = new Random(seed);
    const table = new MemoryTable();
    const randomClockErrorMs = () =>
      random.jitter(0, 0) + random.integerBelow(400) - 200;
    const candidates = ["a", "b", "c"].map((id) => ({
      lease: createLease(id),
      clockErrorMs: randomClockErrorMs(),
      pausedUntil: 0,
      operation: null as null | {
        dueAt: number;
        lost: boolean;
        run: () => Promise<(at: Moment) => void>;
      },
    }));
    let highest = 0;
    for (let now = 0; now < 60_000; now += 100) {
      const fences = candidates.flatMap(({ lease, clockErrorMs }) =>
        lease.fenceAt({
          monotonic: now,
          wall: wallStart + now + clockErrorMs,
        }) ?? []
      );
      t.ok(fences.length <= 1, `seed ${seed} at ${now}`);
      highest = Math.max(highest, ...fences);
      for (const candidate of candidates) {
        const at = {
          monotonic: now,
          wall: wallStart + now + candidate.clockErrorMs,
        };
        if (random.integerBelow(200) === 0) {
          candidate.pausedUntil = now + random.integerBelow(20_000);
        }
        if (now < candidate.pausedUntil) {
          continue;
        }
        if (candidate.operation !== null) {
          if (now >= candidate.operation.dueAt) {
            const { run, lost } = candidate.operation;
            candidate.operation = null;
            const finish = await run();
            if (lost) {
              candidate.lease.operationFailed(false, at);
            } else {
              finish(at);
            }
          }
          continue;
        }
        const intent = random.integerBelow(50) === 0 ? unwanted : orphaned;
        const action = candidate.lease.step(intent, at);
        if (action !== null) {
          const { lease } = candidate;
          candidate.operation = {
            dueAt: now + random.integerBelow(1_000),
            lost: random.integerBelow(10) === 0,
            run: async () => {
              if (action.kind === "read") {
                const [row = null]: readonly (Row | null)[] = await table.read([
                  key,
                ]);
                return (moment) => lease.rowRead(row, moment);
              }
              const result = await table.commit([action.write]);
              return (moment) => lease.writeCompleted(result, moment);
            },
          };
        }
      }
    }
    t.ok(highest > 1, "the lease moved");
  }
});

/** The limits after a restore in an era, learned at a time. */
function restoredAt(era: number, milliseconds: number): LeaseIntent {
  const formerEndedBy = milliseconds + leaseDurationMs + maxClockErrorMs;
  const firstFence = toStoreVersion(era, 1);
  return { ...wanted, restore: { firstFence, formerEndedBy } };
}

// Fences were granted twice, as the copy lacks the latest acquisition.
t.test("no fence is granted again after the table was restored", async (t) => {
  const table = new MemoryTable();
  const a = createLease("a");
  const b = createLease("b");
  const copy = table.copy();
  await runAll(a, table, { intent: wanted, at: momentAt(0) });
  const former = a.fenceAt(momentAt(1)) ?? 0;
  table.restore(copy);
  const intent = restoredAt(1, 100);
  await runAll(b, table, { intent, at: momentAt(100) });
  t.equal(b.fenceAt(momentAt(100)), null, "the former holder may use it");
  const endedAt = momentAt(100 + leaseDurationMs + maxClockErrorMs);
  await runAll(b, table, { intent, at: endedAt });
  t.ok((b.fenceAt(endedAt) ?? 0) > former);
  t.equal(a.fenceAt(endedAt), null);
});

t.test("a holder goes on under a new fence after the table was restored", async (t) => {
  const table = new MemoryTable();
  const lease = createLease("a");
  await runAll(lease, table, { intent: wanted, at: momentAt(0) });
  const copy = table.copy();
  table.restore(copy);
  const intent = restoredAt(1, 100);
  await runAll(lease, table, { intent, at: momentAt(100) });
  t.equal(lease.fenceAt(momentAt(101)), toStoreVersion(1, 1));
  const later = momentAt(100 + renewalIntervalMs);
  await runAll(lease, table, { intent, at: later });
  t.equal(lease.fenceAt(later), toStoreVersion(1, 1), "renewals keep it");
});
