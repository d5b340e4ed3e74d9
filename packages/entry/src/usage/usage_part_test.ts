import type { StreamToken } from "@lavenderferry/credentials";
import type { Batch } from "@lavenderferry/ledger";
import { maxUnsettledBatches } from "@lavenderferry/ledger";
import type { Vm } from "@lavenderferry/platform";
import fc from "fast-check";
import t from "tap";
import type { EntryEffect } from "../effects.ts";
import { entrySettingsSchema } from "../settings.ts";
import type { EntryState } from "../state.ts";
import { createEntryState } from "../state.ts";
import {
  beginTakeOver,
  chargeOutput,
  resolveTakeOver,
} from "./taken_over_usage.ts";
import { flushUsage, usagePart } from "./usage_part.ts";

const startWall = Date.UTC(2026, 11, 3, 12);
const token = {
  requestId: "r-1",
  generationId: "aaaaaaaaaaaa-1",
  upstream: "engine-0",
  workspace: "household",
  workClass: "report",
  model: "base",
} as StreamToken;

t.test("two stewards of other data centres hold unsettled batches", (t) => {
  const state = createState();
  addUsage(state, 0);
  const holds = flush(state, 0).filter(isHold);
  t.equal(holds.length, 2);
  for (const { steward, batches } of holds) {
    t.not(state.vms.get(steward)?.dataCentre, "krakow");
    t.strictSame(sequencesOf(batches), [1]);
  }
  t.end();
});

t.test("a batch is settled only once every answering holder has it", (t) => {
  const state = createState();
  addUsage(state, 0);
  const [first, second] = flush(state, 0).filter(isHold);
  const settled: number[][] = [];
  settled.push(settledBy(flush(state, 1)));
  answerHold(state, first?.steward, 1);
  settled.push(settledBy(flush(state, 2)));
  answerHold(state, second?.steward, 1);
  settled.push(settledBy(flush(state, 3)));
  t.strictSame(settled, [[], [], [1]]);
  t.end();
});

t.test("a restarted holder receives all unsettled batches again", (t) => {
  const state = createState();
  addUsage(state, 0);
  const [first] = flush(state, 0).filter(isHold);
  const steward = first?.steward ?? "";
  answerHold(state, steward, 1);
  addUsage(state, 1);
  const later = flush(state, 1).filter(isHold);
  t.strictSame(batchesTo(later, steward), [2]);
  answerHold(state, steward, 0);
  const last = flush(state, 2).filter(isHold);
  t.strictSame(batchesTo(last, steward), [1, 2]);
  t.end();
});

t.test("a holder that fails three times is not chosen again", (t) => {
  const state = createState();
  addUsage(state, 0);
  const [first] = flush(state, 0).filter(isHold);
  const steward = first?.steward ?? "";
  for (let second = 1; second <= 6; second++) {
    usagePart.usage_not_held(state, {
      kind: "usage_not_held",
      steward,
      at: at(second),
    });
    const chosen = flush(state, second).filter(isHold);
    const expected = second < 3;
    t.equal(chosen.some((hold) => hold.steward === steward), expected);
  }
  t.end();
});

t.test("another steward settles after a failure", (t) => {
  const state = createState();
  addUsage(state, 0);
  for (const { steward } of flush(state, 0).filter(isHold)) {
    answerHold(state, steward, 1);
  }
  const [before] = flush(state, 1).filter(isSettle);
  const steward = before?.steward ?? "";
  usagePart.usage_not_settled(state, {
    kind: "usage_not_settled",
    steward,
    at: at(1),
  });
  const [after] = flush(state, 2).filter(isSettle);
  t.not(after?.steward, steward);
  t.strictSame(sequencesOf(after?.batches ?? []), [1]);
  t.end();
});

t.test("open generations are updated only once their batches close", (t) => {
  const state = createState();
  state.generations.set(token.generationId, {
    stream: token,
    phase: "streaming",
    nextIndex: 7,
  } as never);
  const [first] = flush(state, 0).filter(isHold);
  t.equal(first?.generations[0]?.charged, 7);
  for (let second = 0; second < maxUnsettledBatches; second++) {
    addUsage(state, second);
    flush(state, second);
  }
  addUsage(state, maxUnsettledBatches);
  Object.assign(state.generations.get(token.generationId) ?? {}, {
    nextIndex: 9,
  });
  const [full] = flush(state, maxUnsettledBatches).filter(isHold);
  t.equal(full?.generations[0]?.charged, 7);
  t.end();
});

t.test("each token of a taken-over stream is charged once", (t) => {
  const history = fc.record({
    received: fc.nat(50),
    flushed: fc.nat(50),
    delivered: fc.nat(50),
    reads: fc.array(fc.integer({ min: 1, max: 9 }), { maxLength: 12 }),
    answeredAfter: fc.nat(12),
  });
  fc.assert(
    fc.property(history, (history) => {
      const { received, reads, answeredAfter } = history;
      const flushed = Math.min(history.flushed, received);
      const from = Math.min(history.delivered, received);
      const total = Math.max(received, from + sum(reads));
      const tail = total - from - sum(reads);
      const state = createState();
      beginTakeOver(state, { stream: token, startIndex: from }, at(0));
      const all = [...reads, ...(tail > 0 ? [tail] : [])];
      for (const [index, amount] of all.entries()) {
        if (index === answeredAfter) {
          resolveTakeOver(state, token.generationId, flushed);
        }
        chargeOutput(state, token, { amount, wall: startWall + index * 1_000 });
      }
      resolveTakeOver(state, token.generationId, flushed);
      return flushed + chargedHere(state) === total;
    }),
    { seed: 4, numRuns: 1_000 },
  );
  t.end();
});

t.test("a take-over without an answer is charged after the deadline", (t) => {
  const state = createState();
  beginTakeOver(state, { stream: token, startIndex: 5 }, at(0));
  chargeOutput(state, token, { amount: 3, wall: startWall });
  const queries = flush(state, 1).filter(({ kind }) =>
    kind === "query_charged_index"
  );
  t.equal(queries.length, 1);
  flush(state, 31);
  t.equal(chargedHere(state), 3);
  t.equal(state.usageHandover.takenOver.size, 0);
  t.end();
});

type HoldUsage = Extract<EntryEffect, { kind: "hold_usage" }>;
type SettleUsage = Extract<EntryEffect, { kind: "settle_usage" }>;

function createState(): EntryState {
  const settings = entrySettingsSchema.parse({
    vm: "entry-0",
    dataCentre: "krakow",
    region: "centre",
    peers: { ip: "127.0.0.1", port: 0 },
    platform: "http://127.0.0.1:1",
    callers: { ip: "127.0.0.1", port: 0 },
    callerSecret: "caller-secret-of-a-test-0000000000",
    streamSecret: "stream-secret-of-a-test-0000000000",
  });
  const state = createEntryState(settings, "bbbbbbbbbbbb");
  const centres = ["krakow", "lodz", "warszawa", "lodz", "warszawa"];
  const vms = centres.map((dataCentre, index): [string, Vm] => {
    const id = `steward-${index}`;
    return [id, {
      id,
      role: "steward",
      dataCentre,
      region: "centre",
      state: "live",
      address: `10.0.0.${index}:1`,
      peers: `10.0.0.${index}:2`,
      checksFence: false,
    }];
  });
  state.vms = new Map(vms);
  return state;
}

function at(second: number): { wall: number; monotonic: number } {
  return { wall: startWall + second * 1_000, monotonic: second * 1_000 };
}

function addUsage(state: EntryState, second: number): void {
  const { wall } = at(second);
  state.usage.add(token, "output", { amount: 1, wall });
}

function flush(state: EntryState, second: number): readonly EntryEffect[] {
  return flushUsage(state, at(second));
}

function answerHold(
  state: EntryState,
  steward: string | undefined,
  held: number,
): void {
  usagePart.usage_held(state, {
    kind: "usage_held",
    steward: steward ?? "",
    held,
    at: at(0),
  });
}

function isHold(effect: EntryEffect): effect is HoldUsage {
  return effect.kind === "hold_usage";
}

function isSettle(effect: EntryEffect): effect is SettleUsage {
  return effect.kind === "settle_usage";
}

function settledBy(effects: readonly EntryEffect[]): number[] {
  return effects.filter(isSettle).flatMap(({ batches }) =>
    sequencesOf(batches)
  );
}

function batchesTo(holds: readonly HoldUsage[], steward: string): number[] {
  const hold = holds.find((effect) => effect.steward === steward);
  return sequencesOf(hold?.batches ?? []);
}

function sequencesOf(batches: readonly Batch[]): number[] {
  return batches.map(({ sequence }) => sequence);
}

function chargedHere(state: EntryState): number {
  state.usage.close({ now: startWall, versionAt: () => 1 });
  const batches = state.usage.unsettled(0, maxUnsettledBatches);
  return sum(
    batches.flatMap(({ records }) => records.map(({ amount }) => amount)),
  );
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
