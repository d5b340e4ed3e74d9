import type { Moment } from "@lavenderferry/runtime";
import { hashText, Random } from "@lavenderferry/runtime";
import { isRequestBlock } from "./request_block.ts";
import type { BegunPrompt, Quarantine, SuspectBlock } from "./suspect_block.ts";

export { isRequestBlock, requestBlockOf } from "./request_block.ts";
export type { BegunPrompt, Quarantine, SuspectBlock } from "./suspect_block.ts";

/** Engines that end before a block that was never answered is quarantined. */
const minEngines = 3;

/**
 * Engines that end before a block of prompts is quarantined that was answered
 * earlier. It is part of many prompts, of which another block may be the cause.
 */
const minEnginesOnceAnswered = 8;

/** Limit on the engines, and on the attempts at each, in one record. */
const maxEngines = minEnginesOnceAnswered;
const maxAttemptsPerEngine = 3;

/**
 * Engines that must have ended under a request that was never answered, so that
 * it excuses requests that were answered and ran at the same engines.
 */
const minEnginesToExcuse = 2;

/**
 * Share of a block's ended engines that another block must have ended together
 * with it, in the same prompts, for either to be the possible cause.
 */
const minSharedFraction = 0.75;

/**
 * Milliseconds for which the first engines quarantine a block. Each further
 * engine doubles it, so that a wrong quarantine ends soon and a right one costs
 * few engines.
 */
const firstHoldMs = 120_000;

/**
 * Milliseconds for which a request as a whole is quarantined, at least and at
 * most. Each process has its own time between, so that one of them tries it
 * first and the others learn of the outcome.
 */
const requestHoldMs = { min: 600_000, max: 900_000 };

/**
 * Milliseconds for which a request as a whole is quarantined that was answered
 * earlier, by the number of engines that ended as it was tried again. The first
 * time suffices for all processes to learn of the quarantine.
 */
const trialHoldsMs = [2_000, 30_000];

/** Milliseconds for which a request that was quarantined is remembered. */
const requestRetentionMs = 1_200_000;

/** Milliseconds for which records and complete answers are remembered. */
const retentionMs = 600_000;

/** Limit on the records, and so on the bytes that peers exchange. */
const maxSuspects = 256;

/** Limits on the blocks and on the requests that are remembered as answered. */
const maxAnswered = 8_192;

/**
 * Finds the blocks of prompts that end the engines which begin to answer them.
 * Each engine that ends is held against all blocks of the prompts that it had
 * just begun, and complete answers clear their blocks. Records of several
 * processes merge in any order: more clearances win, otherwise their ends are
 * united.
 */
export class SuspectBlocks {
  readonly #suspects = new Map<string, SuspectBlock>();
  /** Monotonic deadlines until which blocks are remembered as answered. */
  readonly #answered = new Map<string, number>();
  /** The same for requests, which are many more than blocks. */
  readonly #answeredRequests = new Map<string, number>();
  readonly #process: string;
  /** Blocks whose records were removed since the last call of `takeRemoved`. */
  #removed: string[] = [];
  #quarantines: readonly Quarantine[] = [];

  /** `process` tells the processes apart that share the records. */
  constructor(process = "") {
    this.#process = process;
  }

  /** Quarantines, also expired ones, that with most engines first. */
  get quarantines(): readonly Quarantine[] {
    return this.#quarantines;
  }

  /** Records of all blocks under quarantine. */
  get quarantined(): readonly SuspectBlock[] {
    return this.#quarantines.flatMap(({ blocks }) => blocks)
      .flatMap((block) => this.#suspects.get(block) ?? []);
  }

  /** Whether an answer to a prompt with the block was completed recently. */
  wasAnswered(block: string, at: Moment): boolean {
    return (this.#answeredOf(block).get(block) ?? 0) > at.monotonic;
  }

  /** Whether engines ended under any of the blocks since its last answer. */
  hasEnds(blocks: readonly string[]): boolean {
    return blocks.some((block) =>
      (this.#suspects.get(block)?.ends.length ?? 0) > 0
    );
  }

  /** Whether a request is or was under quarantine, apart from its prompt. */
  wasQuarantined(requestBlock: string): boolean {
    return this.#quarantines.some(({ blocks }) =>
      blocks.includes(requestBlock)
    );
  }

  /** Returns the quarantine that a prompt falls under, if there is one. */
  findQuarantine(
    blocks: readonly string[],
    at: Moment,
  ): Quarantine | undefined {
    return this.#quarantines.find((quarantine) =>
      quarantine.deadline > at.monotonic &&
      quarantine.blocks.every((block) => blocks.includes(block))
    );
  }

  /**
   * Records an engine that ended as it began to answer the prompts. Returns the
   * changed records.
   */
  recordEnd(
    engine: string,
    prompts: readonly BegunPrompt[],
    at: Moment,
  ): readonly SuspectBlock[] {
    const changed = new Map<string, SuspectBlock>();
    for (const { attemptId, blocks } of prompts) {
      for (const block of blocks) {
        const clearances = this.#suspects.get(block)?.clearances ??
          this.#initialClearances(block, at);
        const trial = this.#isTried(block, at) ? trialPrefix : "";
        const ends = [`${engine}${endSeparator}${trial}${attemptId}`];
        const record = { block, clearances, ends, changedAt: at.wall };
        for (const merged of this.merge(record, at)) {
          changed.set(block, merged);
        }
      }
    }
    return [...changed.values()];
  }

  /**
   * Records a complete answer to a prompt with the blocks. Returns the changed
   * records.
   */
  recordAnswer(
    blocks: readonly string[],
    at: Moment,
  ): readonly SuspectBlock[] {
    const changed: SuspectBlock[] = [];
    for (const block of blocks) {
      this.#rememberAnswer(block, at);
      const suspect = this.#suspects.get(block);
      if (suspect !== undefined && suspect.ends.length > 0) {
        const clearances = suspect.clearances + 1;
        const cleared = { block, clearances, ends: [], changedAt: at.wall };
        this.#suspects.set(block, cleared);
        changed.push(cleared);
      }
    }
    if (changed.length > 0) {
      this.#updateQuarantines(at);
    }
    return changed;
  }

  /**
   * Merges a record of another process. Returns the resulting record if either
   * process lacked a part of it.
   */
  merge(record: SuspectBlock, at: Moment): readonly SuspectBlock[] {
    const known = this.#suspects.get(record.block) ?? {
      block: record.block,
      clearances: this.#initialClearances(record.block, at),
      ends: [],
      changedAt: record.changedAt,
    };
    const merged = mergeRecords(known, record);
    if (isSame(merged, known) && isSame(merged, record)) {
      return [];
    }
    if (!this.#suspects.has(record.block)) {
      this.#makeRoom();
    }
    this.#suspects.set(record.block, merged);
    this.#updateQuarantines(at);
    return [merged];
  }

  /**
   * Removes records that are too old. Returns the blocks of all records that
   * were removed since the last call.
   */
  takeRemoved(at: Moment): readonly string[] {
    for (const [block, suspect] of this.#suspects) {
      if (at.wall - suspect.changedAt >= retentionMsOf(suspect)) {
        this.#suspects.delete(block);
        this.#removed.push(block);
      }
    }
    const removed = this.#removed;
    if (removed.length > 0) {
      this.#removed = [];
      this.#updateQuarantines(at);
    }
    return removed;
  }

  /** Removes the record with fewest ends, the oldest of them, if it is full. */
  #makeRoom(): void {
    if (this.#suspects.size < maxSuspects) {
      return;
    }
    let least: SuspectBlock | undefined;
    for (const suspect of this.#suspects.values()) {
      if (least === undefined || suspect.ends.length < least.ends.length) {
        least = suspect;
      }
    }
    if (least !== undefined) {
      this.#suspects.delete(least.block);
      this.#removed.push(least.block);
    }
  }

  #initialClearances(block: string, at: Moment): number {
    // Few processes have answered a request, and the ends that the others know
    // of would give way to more clearances.
    return !isRequestBlock(block) && this.wasAnswered(block, at) ? 1 : 0;
  }

  /** Whether a request runs that was let through after its quarantine. */
  #isTried(block: string, at: Moment): boolean {
    return isRequestBlock(block) &&
      this.#quarantines.some((quarantine) =>
        quarantine.blocks.includes(block) && quarantine.deadline <= at.monotonic
      );
  }

  #isOnceAnswered({ block, clearances }: SuspectBlock, at: Moment): boolean {
    return clearances > 0 || this.wasAnswered(block, at);
  }

  #rememberAnswer(block: string, at: Moment): void {
    const answered = this.#answeredOf(block);
    answered.delete(block);
    const [oldest] = answered.keys();
    if (answered.size >= maxAnswered && oldest !== undefined) {
      answered.delete(oldest);
    }
    answered.set(block, at.monotonic + retentionMs);
  }

  #answeredOf(block: string): Map<string, number> {
    return isRequestBlock(block) ? this.#answeredRequests : this.#answered;
  }

  /**
   * Attributes ended engines to blocks, the block with most of them first. The
   * blocks that came with it in the same prompts are quarantined together with
   * it, as each of them may be the cause; those that were never answered are
   * the more likely ones.
   */
  #updateQuarantines(at: Moment): void {
    const quarantines: Quarantine[] = [];
    const explained: ExplainedEngines = new Map();
    const quarantined = new Set<SuspectBlock>();
    const excused = this.#findExcused(at);
    for (;;) {
      const top = this.#findTop(explained, { quarantined, excused, at });
      if (top === undefined) {
        break;
      }
      const engines = enginesOf(top.ends);
      const companions = [...this.#suspects.values()].filter((other) =>
        other === top ||
        countSharedEngines(top, other) >= minSharedFraction * engines.size
      );
      const unanswered = companions.filter(({ clearances }) =>
        clearances === 0
      );
      const group = unanswered.length > 0 ? unanswered : companions;
      quarantines.push({
        blocks: group.map(({ block }) => block).sort(),
        deadline: this.#holdDeadline(top, engines.size, at),
      });
      for (const suspect of group) {
        quarantined.add(suspect);
      }
      quarantined.add(top);
      for (const engine of engines) {
        const count = Math.max(explained.get(engine) ?? 0, engines.size);
        explained.set(engine, count);
      }
    }
    this.#quarantines = quarantines;
  }

  #holdDeadline(
    suspect: SuspectBlock,
    engineCount: number,
    at: Moment,
  ): number {
    const doublings = engineCount - requiredEngines(suspect);
    const holdMs = isRequestBlock(suspect.block)
      ? this.#requestHoldMs(suspect, at)
      : Math.min(retentionMs, firstHoldMs * 2 ** doublings);
    // Clocks of processes may differ, so the last end may seem to be ahead.
    const ageMs = Math.max(0, at.wall - suspect.changedAt);
    return at.monotonic + holdMs - ageMs;
  }

  #requestHoldMs(suspect: SuspectBlock, at: Moment): number {
    const trialEnds = suspect.ends.filter(isTrialEnd).length;
    const trialHoldMs = trialHoldsMs[trialEnds];
    if (trialHoldMs !== undefined && this.#isOnceAnswered(suspect, at)) {
      return trialHoldMs;
    }
    const { block, changedAt } = suspect;
    const { min, max } = requestHoldMs;
    const seed = hashText(`${this.#process}/${block}/${changedAt}`);
    return min + new Random(seed).fraction() * (max - min);
  }

  /**
   * Returns the requests that were answered and ran only at engines that may
   * have ended under requests that never were. An end as a request is tried
   * again is not excused.
   */
  #findExcused(at: Moment): ReadonlySet<SuspectBlock> {
    const requests = [...this.#suspects.values()]
      .filter(({ block }) => isRequestBlock(block));
    const engines = new Set(
      requests.filter((suspect) => !this.#isOnceAnswered(suspect, at))
        .map(({ ends }) => enginesOf(ends))
        .filter(({ size }) => size >= minEnginesToExcuse)
        .flatMap((ended) => [...ended]),
    );
    return new Set(
      requests.filter((suspect) =>
        this.#isOnceAnswered(suspect, at) && !suspect.ends.some(isTrialEnd) &&
        [...enginesOf(suspect.ends)].every((engine) => engines.has(engine))
      ),
    );
  }

  /**
   * Returns the suspect with most unexplained engines, if they suffice. Of
   * requests with as many, one that was never answered comes first.
   */
  #findTop(
    explained: ExplainedEngines,
    { quarantined, excused, at }: {
      readonly quarantined: ReadonlySet<SuspectBlock>;
      readonly excused: ReadonlySet<SuspectBlock>;
      readonly at: Moment;
    },
  ): SuspectBlock | undefined {
    const candidates = [...this.#suspects.values()].flatMap((suspect) => {
      const isOnceAnswered = this.#isOnceAnswered(suspect, at);
      const count = countUnexplained(suspect, { explained, isOnceAnswered });
      const isCandidate = count >= requiredEngines(suspect) &&
        !quarantined.has(suspect) && !excused.has(suspect);
      const rank = isRequestBlock(suspect.block) && isOnceAnswered ? 1 : 0;
      return isCandidate ? [{ suspect, count, rank }] : [];
    });
    candidates.sort((a, b) =>
      b.count - a.count || a.rank - b.rank ||
      (a.suspect.block < b.suspect.block ? -1 : 1)
    );
    return candidates[0]?.suspect;
  }
}

/** Separates the ids of engine and attempt; attempt ids do not contain it. */
const endSeparator = "/";

/** Begins the ids of attempts at a request after its quarantine. */
const trialPrefix = "trial:";

function isTrialEnd(end: string): boolean {
  return end.includes(`${endSeparator}${trialPrefix}`);
}

function engineOf(end: string): string {
  return end.slice(0, end.lastIndexOf(endSeparator));
}

function enginesOf(ends: readonly string[]): ReadonlySet<string> {
  return new Set(ends.map(engineOf));
}

function requiredEngines({ block, clearances }: SuspectBlock): number {
  return clearances === 0 || isRequestBlock(block)
    ? minEngines
    : minEnginesOnceAnswered;
}

/** Ended engines by id, with the most engines that one block explains. */
type ExplainedEngines = Map<string, number>;

/**
 * Counts the engines that ended under a block and not under others that are
 * already held responsible. Requests that were never answered may have run at
 * the same engines, so one is excused only if others explain all of its engines
 * and more.
 */
function countUnexplained(
  { block, ends }: SuspectBlock,
  { explained, isOnceAnswered }: {
    readonly explained: ExplainedEngines;
    readonly isOnceAnswered: boolean;
  },
): number {
  const engines = [...enginesOf(ends)];
  if (!isRequestBlock(block) || isOnceAnswered) {
    return engines.filter((engine) => !explained.has(engine)).length;
  }
  const isExcused = engines.every((engine) =>
    (explained.get(engine) ?? 0) > engines.length
  );
  return isExcused ? 0 : engines.length;
}

/** Counts the engines that ended under prompts with both blocks. */
function countSharedEngines(a: SuspectBlock, b: SuspectBlock): number {
  return enginesOf(a.ends.filter((end) => b.ends.includes(end))).size;
}

function retentionMsOf(suspect: SuspectBlock): number {
  const isRemembered = isRequestBlock(suspect.block) &&
    enginesOf(suspect.ends).size >= requiredEngines(suspect);
  return isRemembered ? requestRetentionMs : retentionMs;
}

function mergeRecords(a: SuspectBlock, b: SuspectBlock): SuspectBlock {
  if (a.clearances !== b.clearances) {
    const newer = a.clearances > b.clearances ? a : b;
    return { ...newer, ends: limitEnds(newer.ends) };
  }
  return {
    ...a,
    ends: limitEnds([...a.ends, ...b.ends]),
    changedAt: Math.max(a.changedAt, b.changedAt),
  };
}

/**
 * Keeps the ends of trials, then the lowest ids, so that processes keep the same
 * ends whatever the order in which they learn of them.
 */
function limitEnds(ends: readonly string[]): readonly string[] {
  const attemptsByEngine = new Map<string, number>();
  const sorted = [...new Set(ends)].sort();
  const trials = sorted.filter(isTrialEnd);
  const others = sorted.filter((end) => !isTrialEnd(end));
  return [...trials, ...others].filter((end) => {
    const engine = engineOf(end);
    const attempts = attemptsByEngine.get(engine);
    const isFull = attempts === undefined
      ? attemptsByEngine.size >= maxEngines
      : attempts >= maxAttemptsPerEngine;
    if (!isFull) {
      attemptsByEngine.set(engine, (attempts ?? 0) + 1);
    }
    return !isFull;
  });
}

function isSame(a: SuspectBlock, b: SuspectBlock): boolean {
  return a.clearances === b.clearances && a.changedAt === b.changedAt &&
    a.ends.length === b.ends.length &&
    a.ends.every((end) => b.ends.includes(end));
}
