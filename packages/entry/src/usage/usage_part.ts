import type { Batch, OpenGeneration } from "@lavenderferry/ledger";
import {
  maxUnsettledBatches,
  settlementDuty,
  shardOf,
} from "@lavenderferry/ledger";
import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import { count } from "../util/effects.ts";
import type { Steward } from "./rank_stewards.ts";
import { rankStewards } from "./rank_stewards.ts";
import {
  findChargedIndex,
  queryHolders,
  resolveTakeOver,
} from "./taken_over_usage.ts";
import type { UsageEvent } from "./usage_event.ts";
import type { Holder, Settler } from "./usage_handover.ts";

/** Number of stewards that hold the unsettled batches. */
const holderCount = 2;
const maxHolderFailures = 3;
const maxBatchesPerCall = 8;
const resendTimeoutMs = 15_000;

/** Handles the answers of stewards that settle or hold usage. */
export const usagePart: EventHandlers<EntryState, UsageEvent, EntryEffect> = {
  usage_settled: (state, { steward, settled, at }) => {
    const { settler } = state.usageHandover;
    if (settler?.id === steward && settled > state.usage.settledThrough) {
      settler.resendAt = at.monotonic + resendTimeoutMs;
    }
    state.usage.settle(settled);
    return [];
  },
  usage_not_settled: (state, { steward }) => {
    if (state.usageHandover.settler?.id === steward) {
      dropSettler(state);
    }
    return [count("retries", "settlement")];
  },
  usage_held: (state, { steward, held }) => {
    const holder = findHolder(state, steward);
    if (holder !== undefined) {
      holder.failures = 0;
      holder.heldThrough = held;
    }
    return [];
  },
  usage_not_held: (state, { steward }) => {
    const holder = findHolder(state, steward);
    if (holder !== undefined) {
      holder.failures += 1;
    }
    return [count("retries", "usage_hold")];
  },
  charged_index_received: (state, { generationId, chargedIndex }) => {
    resolveTakeOver(state, generationId, chargedIndex);
    return [];
  },
};

/** Closes a batch of the open usage and sends unsettled batches to stewards. */
export function flushUsage(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  state.usage.close({
    now: at.wall,
    versionAt: (wall) => state.timeline.at(wall).version,
  });
  return [
    ...holdUsage(state),
    ...settleUsage(state, at),
    ...queryHolders(state, at),
  ];
}

function settleUsage(state: EntryState, at: Moment): readonly EntryEffect[] {
  const { usage, epoch, usageHandover } = state;
  const ranked = rankStewards(state.vms, `settle/${shardOf(epoch)}`);
  const { settler: current } = usageHandover;
  const overdue = current !== null && at.monotonic >= current.resendAt &&
    usage.unsettled(0, 1).length > 0;
  if (overdue || !ranked.some(({ id }) => id === current?.id)) {
    dropSettler(state);
  }
  const holder = state.fleet.holderOf(settlementDuty(shardOf(epoch)));
  const steward = ranked.find(({ id }) => id === holder?.id) ??
    ranked[usageHandover.settlerRank % ranked.length];
  if (steward === undefined) {
    return [];
  }
  const settler = usageHandover.settler ?? createSettler(state, steward, at);
  usageHandover.settler = settler;
  const { peerAddress: address = "" } =
    ranked.find(({ id }) => id === settler.id) ?? {};
  const batches = findHeldBatches(state, settler.sentThrough);
  settler.sentThrough = batches.at(-1)?.sequence ?? settler.sentThrough;
  // The oldest batch is sent again because the answer states what is settled.
  const oldest = settler.sentThrough > usage.settledThrough
    ? usage.unsettled(0, 1)
    : [];
  const batchesToSend = batches.length > 0 ? batches : oldest;
  return batchesToSend.length === 0 ? [] : [{
    kind: "settle_usage",
    steward: settler.id,
    address,
    batches: batchesToSend,
  }];
}

/**
 * Returns the batches that every answering holder has. Only these are sent for
 * settlement, so that the copy that holders have of a crashed entry's usage is
 * never behind what was settled.
 */
function findHeldBatches(
  { usage, usageHandover }: EntryState,
  after: number,
): readonly Batch[] {
  const answering = usageHandover.holders.filter(({ failures }) =>
    failures === 0
  );
  const held = answering.map(({ heldThrough }) => heldThrough);
  const limit = held.length === 0 ? Infinity : Math.min(...held);
  const batches = usage.unsettled(after, maxBatchesPerCall);
  return batches.filter(({ sequence }) => sequence <= limit);
}

function createSettler(
  state: EntryState,
  { id }: Steward,
  at: Moment,
): Settler {
  const sentThrough = state.usage.settledThrough;
  return { id, sentThrough, resendAt: at.monotonic + resendTimeoutMs };
}

function dropSettler(state: EntryState): void {
  const { usageHandover } = state;
  if (usageHandover.settler !== null) {
    usageHandover.settler = null;
    usageHandover.settlerRank += 1;
  }
}

function holdUsage(state: EntryState): readonly EntryEffect[] {
  const { usage, epoch, usageHandover } = state;
  const stewards = chooseHolders(state);
  const failedHolders = usageHandover.holders.filter(({ id, failures }) =>
    failures > 0 && state.vms.has(id) &&
    !stewards.some((steward) => steward.id === id)
  );
  usageHandover.holders = [
    ...failedHolders,
    ...stewards.map(({ id }) =>
      findHolder(state, id) ?? { id, heldThrough: 0, failures: 0 }
    ),
  ];
  const generations = listOpenGenerations(state);
  return stewards.map(({ id, peerAddress: address }) => ({
    kind: "hold_usage",
    steward: id,
    address,
    epoch,
    batches: usage.unsettled(
      findHolder(state, id)?.heldThrough ?? 0,
      maxUnsettledBatches,
    ),
    settled: usage.settledThrough,
    generations,
  }));
}

/**
 * Lists the generations at engines and the index up to which closed batches
 * charge them. If the open records could not be closed because there are too
 * many unsettled batches, the list that was sent last is returned.
 */
function listOpenGenerations(state: EntryState): readonly OpenGeneration[] {
  if (state.usage.openRecordCount > 0) {
    return state.usageHandover.openGenerations;
  }
  const open: OpenGeneration[] = [];
  for (const { phase, stream, nextIndex } of state.generations.values()) {
    const { generationId, upstream, workClass, workspace } = stream;
    const charged = findChargedIndex(state, generationId, nextIndex);
    if (phase !== "waiting" && charged !== null) {
      const generation = generationId;
      open.push({ generation, upstream, workClass, workspace, charged });
    }
  }
  state.usageHandover.openGenerations = open;
  return open;
}

/** Prefers stewards that answer, then those of other data centres. */
function chooseHolders(state: EntryState): readonly Steward[] {
  const ranked = rankStewards(state.vms, `hold/${state.epoch}`);
  const own = state.settings.dataCentre;
  const ordered = [
    ...ranked.filter(({ dataCentre }) => dataCentre !== own),
    ...ranked.filter(({ dataCentre }) => dataCentre === own),
  ];
  const answering = ordered.filter(({ id }) =>
    (findHolder(state, id)?.failures ?? 0) < maxHolderFailures
  );
  const failing = ordered.filter((steward) => !answering.includes(steward));
  return [...answering, ...failing].slice(0, holderCount);
}

function findHolder(state: EntryState, id: string): Holder | undefined {
  return state.usageHandover.holders.find((holder) => holder.id === id);
}
