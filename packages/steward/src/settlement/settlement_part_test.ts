import { dutyNames } from "@lavenderferry/fleet";
import { KnownError } from "@lavenderferry/errors";
import type { Batch, Progress } from "@lavenderferry/ledger";
import {
  noProgress,
  originTimeoutMs,
  settlementDuty,
  shardCount,
  shardOf,
} from "@lavenderferry/ledger";
import t from "tap";
import type { StewardEffect } from "../effects.ts";
import { stewardSettingsSchema } from "../settings.ts";
import type { StewardState } from "../state.ts";
import { createStewardState } from "../state.ts";
import {
  allBatchesSettled,
  settlementPart,
  settlePending,
} from "./settlement_part.ts";

const epoch = "000000000005";
const shard = shardOf(epoch);

t.test("requests of one shard share a commit", (t) => {
  const state = createState();
  request(state, [1, 2]);
  request(state, [2, 3]);
  t.strictSame(settledBy(settlePending(state, at(0))), [1, 2, 3]);
  request(state, [4]);
  t.strictSame(settledBy(settlePending(state, at(1))), []);
  finishCommit(state, [1, 2, 3], { ...noProgress, through: 3 });
  t.strictSame(settledBy(settlePending(state, at(2))), [4]);
  t.end();
});

t.test("batches stay pending until they are settled", (t) => {
  const state = createState();
  request(state, [1, 2]);
  settlePending(state, at(0));
  const failure = new KnownError("Down", { kind: "store_unavailable" });
  settlementPart.batches_failed(state, {
    kind: "batches_failed",
    shard,
    failure,
    at: at(0),
  });
  t.strictSame(settledBy(settlePending(state, at(1))), [1, 2]);
  finishCommit(state, [1, 2], { ...noProgress, through: 1 });
  t.strictSame(settledBy(settlePending(state, at(2))), [2]);
  t.end();
});

t.test("a settled batch does not become pending again", (t) => {
  const state = createState();
  request(state, [1]);
  settlePending(state, at(0));
  finishCommit(state, [1], { ...noProgress, through: 1 });
  request(state, [1]);
  t.equal(allBatchesSettled(state), true);
  t.strictSame(settledBy(settlePending(state, at(1))), []);
  t.end();
});

t.test("held batches are settled once their origin is silent", (t) => {
  const state = createState();
  hold(state, [1, 2], 0);
  t.strictSame(settledBy(settlePending(state, at(1))), []);
  const silentSeconds = originTimeoutMs / 1_000;
  t.strictSame(settledBy(settlePending(state, at(silentSeconds))), [1, 2]);
  finishCommit(state, [1, 2], { ...noProgress, through: 2 });
  t.equal(allBatchesSettled(state), true);
  t.end();
});

t.test("held batches are settled at once before a planned stop", (t) => {
  const state = createState();
  hold(state, [1], 0);
  state.stopping = true;
  t.strictSame(settledBy(settlePending(state, at(0))), [1]);
  t.equal(allBatchesSettled(state), false);
  finishCommit(state, [1], { ...noProgress, through: 1 });
  t.equal(allBatchesSettled(state), true);
  t.end();
});

t.test("a commit carries the fence of the shard's lease", (t) => {
  const state = createState();
  request(state, [1]);
  const [effect] = settlePending(state, at(0));
  t.match(effect, { kind: "settle_batches", shard, fence: 7 });
  t.end();
});

t.test("every shard has a duty", (t) => {
  const names = dutyNames([]);
  for (let shard = 0; shard < shardCount; shard++) {
    t.ok(names.includes(settlementDuty(shard)), `shard ${shard}`);
  }
  t.end();
});

function createState(): StewardState {
  const settings = stewardSettingsSchema.parse({
    vm: "steward-0",
    dataCentre: "krakow",
    region: "centre",
    peers: { ip: "127.0.0.1", port: 0 },
    platform: "http://127.0.0.1:1",
    operators: { ip: "127.0.0.1", port: 0 },
    operatorKeys: { ida: "operator-key-of-a-test-00000000000" },
  });
  const state = createStewardState(settings, "bbbbbbbbbbbb");
  Object.assign(state.duties, { dutyFence: () => 7 });
  return state;
}

function at(second: number): { wall: number; monotonic: number } {
  const monotonic = second * 1_000;
  return { wall: Date.UTC(2026, 11, 3) + monotonic, monotonic };
}

function request(state: StewardState, sequences: readonly number[]): void {
  settlementPart.settle_requested(state, {
    kind: "settle_requested",
    batches: batchesOf(sequences),
    at: at(0),
  });
}

function hold(
  state: StewardState,
  sequences: readonly number[],
  second: number,
): void {
  const batches = batchesOf(sequences);
  settlementPart.hold_requested(state, {
    kind: "hold_requested",
    handover: { epoch, batches, settled: 0, generations: [] },
    at: at(second),
  });
}

function finishCommit(
  state: StewardState,
  sequences: readonly number[],
  progress: Progress,
): void {
  const result = {
    progress: new Map([[epoch, progress]]),
    expired: [],
    unassigned: 0,
  };
  settlementPart.batches_settled(state, {
    kind: "batches_settled",
    shard,
    batches: batchesOf(sequences),
    result,
    at: at(0),
  });
}

function batchesOf(sequences: readonly number[]): readonly Batch[] {
  return sequences.map((sequence) => ({ epoch, sequence, records: [] }));
}

function settledBy(effects: readonly StewardEffect[]): readonly number[] {
  return effects.flatMap((effect) =>
    effect.kind === "settle_batches"
      ? effect.batches.map(({ sequence }) => sequence)
      : []
  );
}
