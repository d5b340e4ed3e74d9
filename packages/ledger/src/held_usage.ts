import type { Batch } from "./usage.ts";

/** Milliseconds without a word of the origin, after which it counts as gone. */
export const originTimeoutMs = 5_000;

interface HeldEpoch {
  readonly batches: Map<number, Batch>;
  /** Monotonic milliseconds after which the holder settles the batches. */
  settleAt: number;
}

/** What an origin hands to a holder. */
export interface Handover {
  readonly epoch: string;
  readonly batches: readonly Batch[];
  /** Batches up to this sequence are settled. */
  readonly settled: number;
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
  hold({ epoch, batches, settled }: Handover, monotonic: number): void {
    const held = this.#epochs.get(epoch) ?? { batches: new Map(), settleAt: 0 };
    this.#epochs.set(epoch, held);
    held.settleAt = monotonic + originTimeoutMs;
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

  /** Forgets the silent origins of which nothing is held. */
  trim(monotonic: number): void {
    for (const [epoch, { batches, settleAt }] of this.#epochs) {
      if (batches.size === 0 && settleAt <= monotonic) {
        this.#epochs.delete(epoch);
      }
    }
  }
}
