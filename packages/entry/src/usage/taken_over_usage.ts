import type { StreamToken } from "@lavenderferry/credentials";
import type { Moment } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import { count } from "../util/effects.ts";
import { rankStewards } from "./rank_stewards.ts";

/** Milliseconds for which the charge waits for the previous entry's index. */
const chargedIndexTimeoutMs = 30_000;
const maxHoldersQueried = 4;
const maxChargedIndexes = 8_192;

/** Tokens that were received together. */
interface TokenArrival {
  readonly amount: number;
  /** Milliseconds since the Unix epoch. */
  readonly wall: number;
}

/**
 * Output of a generation that another entry relayed before. The charge is
 * withheld until it is known up to which index the previous entry charged.
 */
export interface TakenOverUsage {
  readonly stream: StreamToken;
  /** Index of the first token that this entry receives. */
  readonly startIndex: number;
  /** Milliseconds since the Unix epoch at which this entry took over. */
  readonly takenOverAt: number;
  /** Tokens below this index are charged elsewhere; `null`: not known yet. */
  chargedIndex: number | null;
  /** Index of the next token to charge, or to skip if charged elsewhere. */
  nextIndex: number;
  /** Tokens whose charge is withheld, in order of their indexes. */
  arrivals: TokenArrival[];
  /** Monotonic milliseconds at which the charge stops waiting. */
  readonly deadline: number;
}

/** Withholds the charge of a generation that this entry takes over. */
export function beginTakeOver(
  state: EntryState,
  generation: { readonly stream: StreamToken; readonly startIndex: number },
  at: Moment,
): void {
  const { stream, startIndex } = generation;
  state.usageHandover.takenOver.set(stream.generationId, {
    stream,
    startIndex,
    takenOverAt: at.wall,
    chargedIndex: null,
    nextIndex: startIndex,
    arrivals: [],
    deadline: at.monotonic + chargedIndexTimeoutMs,
  });
}

/** Records up to which index this entry charged a generation that it drops. */
export function recordChargedIndex(
  state: EntryState,
  generationId: string,
  index: number,
): void {
  const { chargedIndexes } = state.usageHandover;
  chargedIndexes.set(generationId, index);
  for (const oldest of chargedIndexes.keys()) {
    if (chargedIndexes.size <= maxChargedIndexes) {
      return;
    }
    chargedIndexes.delete(oldest);
  }
}

/** Charges output tokens, or withholds them while a take-over is unresolved. */
export function chargeOutput(
  state: EntryState,
  stream: StreamToken,
  arrival: TokenArrival,
): void {
  if (arrival.amount <= 0) {
    return;
  }
  const takenOver = state.usageHandover.takenOver.get(stream.generationId);
  if (takenOver === undefined) {
    state.usage.add(stream, "output", arrival);
  } else if (takenOver.chargedIndex === null) {
    takenOver.arrivals.push(arrival);
  } else {
    chargeArrival(state, takenOver, arrival);
  }
}

/** Charges the tokens that the previous entry did not charge. */
export function resolveTakeOver(
  state: EntryState,
  generationId: string,
  chargedIndex: number,
): void {
  const takenOver = state.usageHandover.takenOver.get(generationId);
  if (takenOver === undefined || takenOver.chargedIndex !== null) {
    return;
  }
  const { stream, startIndex, takenOverAt, arrivals } = takenOver;
  const missedTokens = Math.max(0, startIndex - chargedIndex);
  state.usage.add(stream, "output", {
    amount: missedTokens,
    wall: takenOverAt,
  });
  takenOver.chargedIndex = chargedIndex;
  takenOver.arrivals = [];
  for (const arrival of arrivals) {
    chargeArrival(state, takenOver, arrival);
  }
}

/**
 * Returns the index below which the tokens of a generation are charged here or
 * elsewhere; `null` while that of the previous entry is not known.
 */
export function findChargedIndex(
  state: EntryState,
  generationId: string,
  expectedIndex: number,
): number | null {
  const takenOver = state.usageHandover.takenOver.get(generationId);
  if (takenOver === undefined) {
    return expectedIndex;
  }
  const { chargedIndex, nextIndex } = takenOver;
  return chargedIndex === null ? null : Math.max(chargedIndex, nextIndex);
}

/** Charges the tokens of an arrival that the previous entry did not charge. */
function chargeArrival(
  state: EntryState,
  takenOver: TakenOverUsage,
  { amount, wall }: TokenArrival,
): void {
  const { stream, chargedIndex, nextIndex } = takenOver;
  const tokensToSkip = Math.max(0, (chargedIndex ?? 0) - nextIndex);
  const skippedTokens = Math.min(amount, tokensToSkip);
  takenOver.nextIndex = nextIndex + amount;
  state.usage.add(stream, "output", { amount: amount - skippedTokens, wall });
}

/**
 * Asks stewards for the charged indexes of previous entries. If an index is
 * not known by the deadline, charges what was received since the take-over.
 */
export function queryHolders(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  const effects: EntryEffect[] = [];
  const { takenOver } = state.usageHandover;
  for (
    const [generationId, { startIndex, chargedIndex, deadline }] of takenOver
  ) {
    if (at.monotonic < deadline) {
      effects.push(...queryChargedIndex(state, generationId, chargedIndex));
      continue;
    }
    if (chargedIndex === null) {
      resolveTakeOver(state, generationId, startIndex);
      effects.push(count("retries", "take_over_unresolved"));
    }
    if (!state.generations.has(generationId)) {
      takenOver.delete(generationId);
    }
  }
  return effects;
}

function queryChargedIndex(
  state: EntryState,
  generationId: string,
  chargedIndex: number | null,
): readonly EntryEffect[] {
  if (chargedIndex !== null) {
    return [];
  }
  const [epoch = ""] = generationId.split("-");
  const stewards = rankStewards(state.vms, `hold/${epoch}`);
  const addresses = stewards.slice(0, maxHoldersQueried).map(
    ({ peerAddress }) => peerAddress,
  );
  return [{ kind: "query_charged_index", generationId, addresses }];
}
