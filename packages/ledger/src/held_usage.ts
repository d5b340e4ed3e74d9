import type { Batch } from "./usage.ts";

/**
 * Time without a hand-over after which an origin, a process that hands over its
 * usage, counts as gone.
 */
export const originTimeoutMs = 5_000;

/** Time without a hand-over after which generations may be taken over. */
export const takeOverTimeoutMs = 2_500;

/** A generation that runs at an engine on behalf of an origin. */
export interface OpenGeneration {
  readonly generation: string;
  readonly upstream: string;
  readonly workClass: string;
  readonly workspace: string;
  /** Tokens whose usage is in the batches handed over so far. */
  readonly charged: number;
}

const epochRetentionMs = 600_000;

interface HeldEpoch {
  readonly batches: Map<number, Batch>;
  /** Open generations by id, from the origin's latest hand-over. */
  generations: ReadonlyMap<string, OpenGeneration>;
  /** Monotonic milliseconds at which its generations may be taken over. */
  takeOverAt: number;
  /** Monotonic milliseconds at which the holder settles the batches. */
  settleAt: number;
}

/** The unsettled usage and open generations that an origin hands over. */
export interface Handover {
  readonly epoch: string;
  readonly batches: readonly Batch[];
  /** Batches up to this sequence are settled. */
  readonly settled: number;
  readonly generations: readonly OpenGeneration[];
}

/** Usage batches of origins, kept until they are settled. */
export class HeldUsage {
  readonly #epochs = new Map<string, HeldEpoch>();

  /** Number of held batches. */
  get size(): number {
    let size = 0;
    for (const { batches } of this.#epochs.values()) {
      size += batches.size;
    }
    return size;
  }

  /** Keeps a hand-over's batches and restarts the time-outs of its origin. */
  hold(
    { epoch, batches, settled, generations }: Handover,
    monotonic: number,
  ): void {
    const held = this.#epochs.get(epoch) ?? createHeldEpoch();
    this.#epochs.set(epoch, held);
    held.settleAt = monotonic + originTimeoutMs;
    held.takeOverAt = monotonic + takeOverTimeoutMs;
    held.generations = new Map(
      generations.map((open) => [open.generation, open]),
    );
    for (const batch of batches) {
      held.batches.set(batch.sequence, batch);
    }
    this.removeSettled(epoch, (sequence) => sequence <= settled);
  }

  /** Returns the sequence up to which every batch is settled or held. */
  heldThrough(epoch: string, settled: number): number {
    const batches = this.#epochs.get(epoch)?.batches;
    let through = settled;
    while (batches?.has(through + 1) === true) {
      through += 1;
    }
    return through;
  }

  /**
   * Returns an open generation whose origin timed out. Its first `charged`
   * tokens are in the origin's batches; all later ones are not.
   */
  findOrphan(generation: string, monotonic: number): OpenGeneration | null {
    for (const { generations, takeOverAt } of this.#epochs.values()) {
      const found = generations.get(generation);
      if (found !== undefined && takeOverAt <= monotonic) {
        return found;
      }
    }
    return null;
  }

  /** Returns the batches of origins that count as gone. */
  findOverdue(monotonic: number): readonly Batch[] {
    const epochs = [...this.#epochs.values()];
    return epochs
      .filter(({ settleAt }) => settleAt <= monotonic)
      .flatMap(({ batches }) => [...batches.values()]);
  }

  /** Removes the settled batches of an epoch. */
  removeSettled(epoch: string, isSettled: (sequence: number) => boolean): void {
    const held = this.#epochs.get(epoch);
    for (const sequence of [...held?.batches.keys() ?? []]) {
      if (isSettled(sequence)) {
        held?.batches.delete(sequence);
      }
    }
  }

  /** Removes epochs without batches some time after their origin timed out. */
  removeExpired(monotonic: number): void {
    for (const [epoch, { batches, settleAt }] of this.#epochs) {
      if (batches.size === 0 && settleAt + epochRetentionMs <= monotonic) {
        this.#epochs.delete(epoch);
      }
    }
  }
}

function createHeldEpoch(): HeldEpoch {
  return {
    batches: new Map(),
    generations: new Map(),
    takeOverAt: 0,
    settleAt: 0,
  };
}
