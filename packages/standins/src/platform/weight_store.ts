/** Sizes of the stand-in's weight store. */
export interface WeightStoreSizes {
  /** Size of the weights of one model or adapter. */
  readonly bytesPerModel: number;
  /** Bytes that all readers together get in a second. */
  readonly bytesPerSecond: number;
  /** Reads that wait for their turn at most. */
  readonly maxWaiting: number;
}

/** Default sizes, small enough for tests. */
export const defaultWeightStoreSizes: WeightStoreSizes = {
  bytesPerModel: 4_000_000,
  bytesPerSecond: 20_000_000,
  maxWaiting: 16,
};

const millisecondsPerSecond = 1_000;

/** Serves weights one after the other at a limited rate. */
export class WeightStore {
  readonly #sizes: WeightStoreSizes;
  #busyUntil = 0;

  constructor(sizes: WeightStoreSizes) {
    this.#sizes = sizes;
  }

  /** Returns when a read that begins now is complete; `null`: refused. */
  read(now: number): number | null {
    const { bytesPerModel, bytesPerSecond, maxWaiting } = this.#sizes;
    const duration = bytesPerModel * millisecondsPerSecond / bytesPerSecond;
    const start = Math.max(now, this.#busyUntil);
    if (start - now > duration * maxWaiting) {
      return null;
    }
    this.#busyUntil = start + duration;
    return this.#busyUntil;
  }

  /** Size of the weights of one model. */
  get bytesPerModel(): number {
    return this.#sizes.bytesPerModel;
  }
}
