import type { StreamToken } from "@lavenderferry/credentials";
import type { Moment } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import { count } from "../util/effects.ts";
import { rankStewards } from "./rank_stewards.ts";

/** Milliseconds for which usage waits for word of the former entry. */
const takeOverMs = 30_000;
const maxHoldersAsked = 4;
const maxRemembered = 8_192;

/** Tokens that arrived at one wall time. */
interface Arrival {
  readonly amount: number;
  readonly wall: number;
}

/**
 * Output of a generation that another entry carried before.
 * Its charge waits until it is known up to which index the other one charged.
 */
export interface TakenOver {
  readonly stream: StreamToken;
  /** Index of the first token that is wanted here. */
  readonly start: number;
  /** Wall time at which this entry took over, in milliseconds. */
  readonly since: number;
  /** Tokens below this index are charged elsewhere; `null`: not known yet. */
  charged: number | null;
  /** Index of the next token that is charged or skipped. */
  next: number;
  /** Tokens whose charge waits, in order. */
  arrivals: Arrival[];
  /** Monotonic milliseconds until which word of the former entry is waited for. */
  readonly deadline: number;
}

/** Withholds the charge of a generation that this entry takes over. */
export function beginTakeOver(
  state: EntryState,
  generation: { readonly stream: StreamToken; readonly start: number },
  at: Moment,
): void {
  const { stream, start } = generation;
  state.usageHandover.takenOver.set(stream.generationId, {
    stream,
    start,
    since: at.wall,
    charged: null,
    next: start,
    arrivals: [],
    deadline: at.monotonic + takeOverMs,
  });
}

/** Remembers up to which index this entry charges a generation that it ends. */
export function rememberCharged(
  state: EntryState,
  generationId: string,
  index: number,
): void {
  const { charged } = state.usageHandover;
  charged.set(generationId, index);
  for (const oldest of charged.keys()) {
    if (charged.size <= maxRemembered) {
      return;
    }
    charged.delete(oldest);
  }
}

/** Charges output tokens, at once or when the former entry is heard of. */
export function chargeOutput(
  state: EntryState,
  stream: StreamToken,
  arrival: Arrival,
): void {
  const takenOver = state.usageHandover.takenOver.get(stream.generationId);
  if (takenOver === undefined) {
    state.usage.add(stream, "output", arrival);
  } else if (takenOver.charged === null) {
    takenOver.arrivals.push(arrival);
  } else {
    chargeAfter(state, takenOver, arrival);
  }
}

/** Charges what the former entry did not: the tokens from an index on. */
export function resolveTakeOver(
  state: EntryState,
  generationId: string,
  charged: number,
): void {
  const takenOver = state.usageHandover.takenOver.get(generationId);
  if (takenOver === undefined || takenOver.charged !== null) {
    return;
  }
  const { stream, start, since, arrivals } = takenOver;
  const missed = Math.max(0, start - charged);
  state.usage.add(stream, "output", { amount: missed, wall: since });
  takenOver.charged = charged;
  takenOver.arrivals = [];
  for (const arrival of arrivals) {
    chargeAfter(state, takenOver, arrival);
  }
}

/** Returns the index up to which this entry's batches charge a generation. */
export function chargedIndex(
  state: EntryState,
  generationId: string,
  nextIndex: number,
): number | null {
  const takenOver = state.usageHandover.takenOver.get(generationId);
  if (takenOver === undefined) {
    return nextIndex;
  }
  const { charged, next } = takenOver;
  return charged === null ? null : Math.max(charged, next);
}

function chargeAfter(
  state: EntryState,
  takenOver: TakenOver,
  { amount, wall }: Arrival,
): void {
  const { stream, charged, next } = takenOver;
  const left = Math.max(0, (charged ?? 0) - next);
  const repeated = Math.min(amount, left);
  takenOver.next = next + amount;
  state.usage.add(stream, "output", { amount: amount - repeated, wall });
}

/** Asks the stewards that hold the usage of former entries. */
export function askHolders(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  const effects: EntryEffect[] = [];
  const { takenOver } = state.usageHandover;
  for (const [generationId, { start, charged, deadline }] of takenOver) {
    if (at.monotonic < deadline) {
      effects.push(...askAbout(state, generationId, charged));
      continue;
    }
    if (charged === null) {
      resolveTakeOver(state, generationId, start);
      effects.push(count("retries", "take_over_unresolved"));
    }
    if (!state.generations.has(generationId)) {
      takenOver.delete(generationId);
    }
  }
  return effects;
}

function askAbout(
  state: EntryState,
  generationId: string,
  charged: number | null,
): readonly EntryEffect[] {
  if (charged !== null) {
    return [];
  }
  const [epoch = ""] = generationId.split("-");
  const stewards = rankStewards(state.vms, `hold/${epoch}`);
  const addresses = stewards.slice(0, maxHoldersAsked).map(({ peers }) =>
    peers
  );
  return [{ kind: "ask_charged", generationId, addresses }];
}
