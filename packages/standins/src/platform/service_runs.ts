import { z } from "zod";

/** Schema of one execution of a non-idempotent call. */
export const serviceRunSchema = z.object({
  /** Pool of the service that ran the call. */
  pool: z.string(),
  /** Path of the call without its slash, such as `bookings`. */
  call: z.string(),
  slot: z.string(),
  /** Person in whose name the call was made. */
  by: z.string(),
  /** Idempotency key of the call; empty when it had none. */
  key: z.string(),
});

/** One execution of a non-idempotent call. */
export type ServiceRun = Readonly<z.output<typeof serviceRunSchema>>;

/** An append-only record of runs, in the order in which they were added. */
export class ServiceRuns {
  readonly #runs: ServiceRun[] = [];

  /** Records a run, also when the call has run before. */
  add(run: ServiceRun): void {
    this.#runs.push(run);
  }

  /** Returns the runs of a pool, or of all pools, oldest first. */
  listByPool(pool: string | undefined): readonly ServiceRun[] {
    return this.#runs.filter((run) => pool === undefined || run.pool === pool);
  }
}
