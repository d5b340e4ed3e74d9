import { SocketDeadline, timeoutError } from "@lavenderferry/runtime";

/** Milliseconds without any bytes after which a transfer has stalled. */
const stallMs = 500;

/**
 * Longest time of a transfer, in milliseconds: the rows of 10,000 routes, some
 * 3.5 MB, take 3 s over a link of 10 Mbit/s that nothing else uses.
 */
const maxTransferMs = 10_000;

/**
 * Deadline of an answer, which is put off while bytes of it arrive: an answer that
 * a narrow link delays is nearer than one that is asked for anew.
 */
export class ProgressDeadline {
  readonly #controller = new AbortController();
  readonly #latest: number;
  #deadline: number;
  #check: SocketDeadline;

  constructor(timeoutMs: number) {
    const now = performance.now();
    this.#deadline = now + timeoutMs;
    this.#latest = this.#deadline + maxTransferMs;
    this.#check = this.#schedule(now);
  }

  /** Aborts with a `TimeoutError` once the deadline has passed. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Records that bytes of the answer have arrived. */
  readonly bytesReceived = (): void => {
    const putOff = Math.min(this.#latest, performance.now() + stallMs);
    this.#deadline = Math.max(this.#deadline, putOff);
  };

  /** Ends the deadline, as the answer is complete or has failed. */
  clear(): void {
    this.#check.clear();
  }

  #schedule(now: number): SocketDeadline {
    return new SocketDeadline(this.#deadline - now, () => this.#expire());
  }

  #expire(): void {
    const now = performance.now();
    if (now < this.#deadline) {
      this.#check = this.#schedule(now);
      return;
    }
    this.#controller.abort(timeoutError());
  }
}

/** Passes on chunks, and calls a function for each. */
export async function* notifyOfChunks<Chunk>(
  chunks: AsyncIterable<Chunk>,
  onChunk: () => void,
): AsyncGenerator<Chunk> {
  for await (const chunk of chunks) {
    onChunk();
    yield chunk;
  }
}
