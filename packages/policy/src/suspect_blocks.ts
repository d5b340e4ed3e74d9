import type { Moment } from "@lavenderferry/runtime";

/** What processes know about a block of prompts under which engines ended. */
export interface SuspectBlock {
  /** Id of the block. */
  readonly block: string;
  /** Number of times that complete answers have cleared the block. */
  readonly clearances: number;
  /**
   * Ids of the engines that ended as they began to answer a prompt with the
   * block, since it was last cleared.
   */
  readonly engines: readonly string[];
}

/** Blocks that together identify the prompts that end engines. */
export interface Quarantine {
  /** Prompts that contain all of these blocks are refused. */
  readonly blocks: readonly string[];
  /** Monotonic milliseconds until which the quarantine holds. */
  readonly deadline: number;
}

interface Suspect {
  readonly block: string;
  clearances: number;
  readonly engines: Set<string>;
  /** Monotonic milliseconds until which the record is kept. */
  deadline: number;
}

/** Engines that end before a block that was never answered is quarantined. */
const minEngines = 3;

/**
 * Engines that end before a block is quarantined that was answered earlier. It
 * is part of many prompts, of which another block may be the cause.
 */
const minEnginesOnceAnswered = 8;

/** Milliseconds for which records and complete answers are remembered. */
const retentionMs = 600_000;

/** Limit on the records, and so on the bytes that peers exchange. */
const maxSuspects = 256;

/** Limit on the blocks that are remembered as answered. */
const maxAnswered = 8_192;

/**
 * Finds the blocks of prompts that end the engines which begin to answer them.
 * Each engine that ends is held against all blocks of the prompts that it had
 * just begun, and complete answers clear their blocks. Records of several
 * processes merge in any order: more clearances win, otherwise their engines
 * are united.
 */
export class SuspectBlocks {
  readonly #suspects = new Map<string, Suspect>();
  /** Monotonic deadlines until which blocks are remembered as answered. */
  readonly #answered = new Map<string, number>();
  /** Blocks whose records were removed since the last call of `takeRemoved`. */
  #removed: string[] = [];
  #quarantines: readonly Quarantine[] = [];

  /** Quarantines in force or expired, the one with most engines first. */
  get quarantines(): readonly Quarantine[] {
    return this.#quarantines;
  }

  /** Records of all blocks under quarantine. */
  get quarantined(): readonly SuspectBlock[] {
    return this.#quarantines.flatMap(({ blocks }) => blocks)
      .flatMap((block) => {
        const suspect = this.#suspects.get(block);
        return suspect === undefined ? [] : [toRecord(suspect)];
      });
  }

  /** Whether an answer to a prompt with the block was completed recently. */
  wasAnswered(block: string, at: Moment): boolean {
    return (this.#answered.get(block) ?? 0) > at.monotonic;
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
   * Records an engine that ended as it began to answer a prompt with the
   * blocks. Returns the changed records.
   */
  recordEnd(
    engine: string,
    blocks: readonly string[],
    at: Moment,
  ): readonly SuspectBlock[] {
    return blocks.flatMap((block) => {
      const clearances = this.#suspects.get(block)?.clearances ??
        this.#initialClearances(block, at);
      return this.merge({ block, clearances, engines: [engine] }, at);
    });
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
      if (suspect !== undefined && suspect.engines.size > 0) {
        suspect.clearances += 1;
        suspect.engines.clear();
        suspect.deadline = at.monotonic + retentionMs;
        changed.push(toRecord(suspect));
      }
    }
    if (changed.length > 0) {
      this.#updateQuarantines();
    }
    return changed;
  }

  /**
   * Merges a record of another process. Returns the resulting record if either
   * process lacked a part of it.
   */
  merge(record: SuspectBlock, at: Moment): readonly SuspectBlock[] {
    const { block } = record;
    const suspect = this.#suspects.get(block) ?? this.#addSuspect(block, at);
    const previous = toRecord(suspect);
    if (record.clearances > suspect.clearances) {
      suspect.clearances = record.clearances;
      suspect.engines.clear();
    }
    if (record.clearances === suspect.clearances) {
      for (const engine of record.engines) {
        if (suspect.engines.size < minEnginesOnceAnswered) {
          suspect.engines.add(engine);
        }
      }
    }
    const merged = toRecord(suspect);
    if (isSame(merged, previous) && isSame(merged, record)) {
      return [];
    }
    suspect.deadline = at.monotonic + retentionMs;
    this.#updateQuarantines();
    return [merged];
  }

  /**
   * Removes records that are too old. Returns the blocks of all records that
   * were removed since the last call.
   */
  takeRemoved(at: Moment): readonly string[] {
    for (const [block, { deadline }] of this.#suspects) {
      if (deadline <= at.monotonic) {
        this.#suspects.delete(block);
        this.#removed.push(block);
      }
    }
    const removed = this.#removed;
    if (removed.length > 0) {
      this.#removed = [];
      this.#updateQuarantines();
    }
    return removed;
  }

  #addSuspect(block: string, at: Moment): Suspect {
    if (this.#suspects.size >= maxSuspects) {
      this.#removeLeastSuspect();
    }
    const suspect: Suspect = {
      block,
      clearances: this.#initialClearances(block, at),
      engines: new Set(),
      deadline: at.monotonic + retentionMs,
    };
    this.#suspects.set(block, suspect);
    return suspect;
  }

  /** Removes the record with fewest engines, the oldest of them. */
  #removeLeastSuspect(): void {
    let least: Suspect | undefined;
    for (const suspect of this.#suspects.values()) {
      if (least === undefined || suspect.engines.size < least.engines.size) {
        least = suspect;
      }
    }
    if (least !== undefined) {
      this.#suspects.delete(least.block);
      this.#removed.push(least.block);
    }
  }

  #initialClearances(block: string, at: Moment): number {
    return this.wasAnswered(block, at) ? 1 : 0;
  }

  #rememberAnswer(block: string, at: Moment): void {
    this.#answered.delete(block);
    const [oldest] = this.#answered.keys();
    if (this.#answered.size >= maxAnswered && oldest !== undefined) {
      this.#answered.delete(oldest);
    }
    this.#answered.set(block, at.monotonic + retentionMs);
  }

  /**
   * Attributes ended engines to blocks, the block with most of them first. The
   * blocks that share its engines are quarantined together, as each of them may
   * be the cause; those that were never answered are the more likely ones.
   */
  #updateQuarantines(): void {
    const quarantines: Quarantine[] = [];
    const explained = new Set<string>();
    for (;;) {
      const top = this.#findTop(explained);
      if (top === undefined) {
        break;
      }
      const equal = [...this.#suspects.values()].filter(({ engines }) =>
        engines.size === top.engines.size &&
        [...engines].every((engine) => top.engines.has(engine))
      );
      const unanswered = equal.filter(({ clearances }) => clearances === 0);
      const group = unanswered.length > 0 ? unanswered : equal;
      quarantines.push({
        blocks: group.map(({ block }) => block),
        deadline: Math.min(...group.map(({ deadline }) => deadline)),
      });
      for (const engine of top.engines) {
        explained.add(engine);
      }
    }
    this.#quarantines = quarantines;
  }

  /** Returns the suspect with most unexplained engines, if they suffice. */
  #findTop(explained: ReadonlySet<string>): Suspect | undefined {
    let top: Suspect | undefined;
    let topCount = 0;
    for (const suspect of this.#suspects.values()) {
      const count = [...suspect.engines]
        .filter((engine) => !explained.has(engine)).length;
      const required = suspect.clearances === 0
        ? minEngines
        : minEnginesOnceAnswered;
      if (count >= required && count > topCount) {
        top = suspect;
        topCount = count;
      }
    }
    return top;
  }
}

function toRecord({ block, clearances, engines }: Suspect): SuspectBlock {
  return { block, clearances, engines: [...engines] };
}

function isSame(a: SuspectBlock, b: SuspectBlock): boolean {
  return a.clearances === b.clearances &&
    a.engines.length === b.engines.length &&
    a.engines.every((engine) => b.engines.includes(engine));
}
