import type { Batch } from "./usage.ts";

/** Milliseconds without a word of the origin, after which it counts as gone. */
export const originTimeoutMs = 5_000;

/** Milliseconds of silence after which an origin's generations may change hands. */
export const yieldTimeoutMs = 2_500;

/** A generation that runs at an engine on behalf of an origin. */
export interface OpenGeneration {
  readonly generation: string;
  readonly upstream: string;
  readonly workClass: string;
  readonly workspace: string;
  /** Tokens whose usage stands in the batches handed over so far. */
  readonly charged: number;
}

const keepOrphansMs = 600_000;

interface HeldEpoch {
  readonly batches: Map<number, Batch>;
  /** Open generations by id, as the origin last stated them. */
  generations: ReadonlyMap<string, OpenGeneration>;
  /** Monotonic milliseconds after which its generations may change hands. */
  yieldAt: number;
  /** Monotonic milliseconds after which the holder settles the batches. */
  settleAt: number;
}

/** What an origin hands to a holder. */
export interface Handover {
  readonly epoch: string;
  readonly batches: readonly Batch[];
  /** Batches up to this sequence are settled. */
  readonly settled: number;
  readonly generations: readonly OpenGeneration[];
}

/** Batches that are kept on behalf of other processes until settled. */
export class HeldUsage {
  readonly #epochs = new Map<string, HeldEpoch>();

  /** Number of batches that are held. */
  get size(): number {
    let size = 0;
    for (const { batches } of this.#epochs.values()) {
      size += batches.size;
    }
    return size;
  }

  /** Keeps the batches and takes the hand-over as a sign of life. */
  hold(
    { epoch, batches, settled, generations }: Handover,
    monotonic: number,
  ): void {
    const held = this.#epochs.get(epoch) ?? createEpoch();
    this.#epochs.set(epoch, held);
    held.settleAt = monotonic + originTimeoutMs;
    held.yieldAt = monotonic + yieldTimeoutMs;
    held.generations = new Map(
      generations.map((each) => [each.generation, each]),
    );
    for (const batch of batches) {
      held.batches.set(batch.sequence, batch);
    }
    this.release(epoch, (sequence) => sequence <= settled);
  }

  /** Returns the sequence up to which no batch after a settled one is missing. */
  heldThrough(epoch: string, settled: number): number {
    const batches = this.#epochs.get(epoch)?.batches;
    let through = settled;
    while (batches?.has(through + 1) === true) {
      through += 1;
    }
    return through;
  }

  /**
   * Returns a generation of an origin that is silent; the tokens up to its
   * `charged` index are charged by the origin's batches, and no others.
   */
  orphan(generation: string, monotonic: number): OpenGeneration | null {
    for (const { generations, yieldAt } of this.#epochs.values()) {
      const found = generations.get(generation);
      if (found !== undefined && yieldAt <= monotonic) {
        return found;
      }
    }
    return null;
  }

  /** Returns batches whose origin has been silent for too long. */
  overdue(monotonic: number): readonly Batch[] {
    const epochs = [...this.#epochs.values()];
    return epochs
      .filter(({ settleAt }) => settleAt <= monotonic)
      .flatMap(({ batches }) => [...batches.values()]);
  }

  /** Forgets the batches of an epoch that are settled. */
  release(epoch: string, settled: (sequence: number) => boolean): void {
    const held = this.#epochs.get(epoch);
    for (const sequence of [...held?.batches.keys() ?? []]) {
      if (settled(sequence)) {
        held?.batches.delete(sequence);
      }
    }
  }

  /** Forgets origins of which nothing is held, some time after their end. */
  trim(monotonic: number): void {
    for (const [epoch, { batches, settleAt }] of this.#epochs) {
      if (batches.size === 0 && settleAt + keepOrphansMs <= monotonic) {
        this.#epochs.delete(epoch);
      }
    }
  }
}

function createEpoch(): HeldEpoch {
  return {
    batches: new Map(),
    generations: new Map(),
    yieldAt: 0,
    settleAt: 0,
  };
}
