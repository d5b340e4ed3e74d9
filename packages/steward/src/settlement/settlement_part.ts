import type { Batch } from "@lavenderferry/ledger";
import { isSettled, settlementDuty, shardOf } from "@lavenderferry/ledger";
import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import type { StewardState } from "../state.ts";
import type { SettlementEvent } from "./settlement_event.ts";

/** Limit per shard; origins send the batches beyond it again. */
const maxPendingBatches = 2_048;
const maxBatchesPerCommit = 512;
const maxBatchesPerForward = 32;
const maxKnownEpochs = 2_048;

/** Settles batches of usage; each shard has at most one commit in flight. */
export const settlementPart: EventHandlers<
  StewardState,
  SettlementEvent,
  StewardEffect
> = {
  settle_requested: (state, { batches }) => {
    addPending(state, batches);
    return [];
  },
  hold_requested: (state, { handover, at }) => {
    state.settlement.held.hold(handover, at.monotonic);
    return [];
  },
  batches_settled: finishCommit,
  batches_forwarded: (state, { epoch, settled }) => {
    const shardBatches = state.settlement.pending.get(shardOf(epoch));
    for (const [key, batch] of shardBatches ?? []) {
      if (batch.epoch === epoch && batch.sequence <= settled) {
        shardBatches?.delete(key);
      }
    }
    advanceSettled(state, epoch, settled);
    return [];
  },
  batches_failed: (state, { shard, failure }) => {
    state.settlement.committing.delete(shard);
    const { kind: reason, message } = failure;
    return [
      {
        kind: "log",
        part: "settlement",
        sentence: "Settlement failed",
        fields: { shard, reason, message },
      },
    ];
  },
};

/** Settles each shard that has pending batches and no commit in flight. */
export function settlePending(
  state: StewardState,
  at: Moment,
): readonly StewardEffect[] {
  const { pending, committing, held } = state.settlement;
  addPending(state, held.findOverdue(state.stopping ? Infinity : at.monotonic));
  held.removeExpired(at.monotonic);
  const effects: StewardEffect[] = [];
  for (const [shard, shardBatches] of pending) {
    if (shardBatches.size > 0 && !committing.has(shard)) {
      const batches = [...shardBatches.values()].slice(0, maxBatchesPerCommit);
      effects.push(...settleShard(state, { shard, batches, at }));
    }
  }
  return effects;
}

/** Commits under the shard's duty, or forwards the batches to its holder. */
function settleShard(
  state: StewardState,
  options: {
    readonly shard: number;
    readonly batches: readonly Batch[];
    readonly at: Moment;
  },
): readonly StewardEffect[] {
  const { shard, batches, at } = options;
  const duty = settlementDuty(shard);
  const fence = state.duties.dutyFence(duty, at);
  if (fence !== null) {
    state.settlement.committing.add(shard);
    return [
      { kind: "settle_batches", shard, batches, now: at.wall, fence },
    ];
  }
  const address = state.fleet.holderOf(duty)?.peers ?? "";
  if (address === "") {
    return [];
  }
  const epochs = new Set(batches.map(({ epoch }) => epoch));
  return [...epochs].map((epoch) => ({
    kind: "forward_batches",
    address,
    epoch,
    batches: batches.filter((batch) => batch.epoch === epoch)
      .slice(0, maxBatchesPerForward),
  }));
}

/** Returns whether this process has neither pending nor held batches. */
export function allBatchesSettled({ settlement }: StewardState): boolean {
  const shards = [...settlement.pending.values()];
  return settlement.held.size === 0 && shards.every(({ size }) => size === 0);
}

function addPending(state: StewardState, batches: readonly Batch[]): void {
  const { pending, settledThrough } = state.settlement;
  for (const batch of batches) {
    const shard = shardOf(batch.epoch);
    const shardBatches = pending.get(shard) ?? new Map<string, Batch>();
    pending.set(shard, shardBatches);
    const settled = batch.sequence <= (settledThrough.get(batch.epoch) ?? 0);
    if (!settled && shardBatches.size < maxPendingBatches) {
      shardBatches.set(batchKey(batch), batch);
    }
  }
}

function finishCommit(
  state: StewardState,
  event: Timed<Extract<SettlementEvent, { kind: "batches_settled" }>>,
): readonly StewardEffect[] {
  const { shard, batches, result, at } = event;
  const { pending, committing, held } = state.settlement;
  committing.delete(shard);
  const shardBatches = pending.get(shard);
  for (const batch of batches) {
    const progress = result.progress.get(batch.epoch);
    const settled = progress !== undefined &&
      isSettled(progress, batch.sequence);
    if (settled || result.expired.includes(batch)) {
      shardBatches?.delete(batchKey(batch));
      held.removeSettled(
        batch.epoch,
        (sequence) => sequence === batch.sequence,
      );
    }
  }
  for (const [epoch, { through }] of result.progress) {
    advanceSettled(state, epoch, through);
  }
  const figures = {
    batches: batches.length,
    expired: result.expired.length,
    unassigned: result.unassigned,
  };
  state.decisions.add({
    kind: "settle",
    subject: settlementDuty(shard),
    reason: "interval",
    figures,
    at: at.wall,
  });
  const shouldLog = figures.expired + figures.unassigned > 0;
  return shouldLog
    ? [
      {
        kind: "log",
        part: "settlement",
        sentence:
          "Refused expired batches or found usage of unknown work classes",
        fields: { shard, ...figures },
      },
    ]
    : [];
}

function advanceSettled(
  { settlement }: StewardState,
  epoch: string,
  through: number,
): void {
  const { settledThrough, held } = settlement;
  const previousThrough = settledThrough.get(epoch) ?? 0;
  settledThrough.delete(epoch);
  settledThrough.set(epoch, Math.max(previousThrough, through));
  held.removeSettled(epoch, (sequence) => sequence <= through);
  for (const oldest of settledThrough.keys()) {
    if (settledThrough.size <= maxKnownEpochs) {
      return;
    }
    settledThrough.delete(oldest);
  }
}

function batchKey({ epoch, sequence }: Batch): string {
  return `${epoch}/${sequence}`;
}
