/** Size and bandwidth of a stand-in weight store. */
export interface WeightStoreSizes {
  /** Size of the weights of each model or adapter. */
  readonly bytesPerModel: number;
  /** Bandwidth shared by all readers. */
  readonly bytesPerSecond: number;
  /** Maximum number of reads that wait for their turn. */
  readonly maxWaiting: number;
}

/** Default sizes, small enough for tests. */
export const defaultWeightStoreSizes: WeightStoreSizes = {
  bytesPerModel: 4_000_000,
  bytesPerSecond: 20_000_000,
  maxWaiting: 16,
};

const millisecondsPerSecond = 1_000;

/** Schedules reads of weights one after the other at a limited rate. */
export class WeightStore {
  readonly #sizes: WeightStoreSizes;
  /** Monotonic milliseconds at which the last scheduled read completes. */
  #busyUntil = 0;

  constructor(sizes: WeightStoreSizes) {
    this.#sizes = sizes;
  }

  /**
   * Schedules a read; returns the monotonic milliseconds at which it completes,
   * or `null` when too many reads wait.
   */
  scheduleRead(now: number): number | null {
    const { bytesPerModel, bytesPerSecond, maxWaiting } = this.#sizes;
    const durationMs = bytesPerModel * millisecondsPerSecond / bytesPerSecond;
    const startAt = Math.max(now, this.#busyUntil);
    if (startAt - now > durationMs * maxWaiting) {
      return null;
    }
    this.#busyUntil = startAt + durationMs;
    return this.#busyUntil;
  }

  /** Size of the weights of each model or adapter. */
  get bytesPerModel(): number {
    return this.#sizes.bytesPerModel;
  }
}
