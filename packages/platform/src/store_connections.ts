import type { Dispatcher } from "undici";
import { Pool } from "undici";

/** A request whose signal ends it when the store does not answer in time. */
export type StoreRequest = Dispatcher.RequestOptions & {
  readonly signal: AbortSignal;
};

/**
 * Connections to a store. Once a request on one of them was not answered in time,
 * none of them is used again: a fault that silences one connection without a
 * reset most likely silences the idle ones beside it.
 */
export class StoreConnections {
  readonly #url: string;
  readonly #limit: number;
  readonly #former = new Set<Pool>();
  #pool: Pool;

  constructor(url: string, limit: number) {
    this.#url = url;
    this.#limit = limit;
    this.#pool = this.#createPool();
  }

  /** Sends a request and returns what is read from its response. */
  async send<Result>(
    request: StoreRequest,
    read: (response: Dispatcher.ResponseData) => Promise<Result>,
  ): Promise<Result> {
    const pool = this.#pool;
    try {
      return await read(await pool.request(request));
    } catch (error) {
      if (request.signal.aborted && pool === this.#pool) {
        this.#replacePool();
      }
      throw error;
    }
  }

  /** Closes all connections, also those in use. */
  async close(): Promise<void> {
    const pools = [this.#pool, ...this.#former];
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #createPool(): Pool {
    return new Pool(this.#url, { connections: this.#limit });
  }

  /** Uses new connections; the former ones close after what is in progress. */
  #replacePool(): void {
    const former = this.#pool;
    this.#pool = this.#createPool();
    this.#former.add(former);
    const forget = () => void this.#former.delete(former);
    former.close().then(forget, forget);
  }
}
