import { z } from "zod";

/** Schema of one run of a call that may not be repeated. */
export const serviceRunSchema = z.object({
  /** Name of the service's pool. */
  pool: z.string(),
  /** Path of the call, as `bookings`. */
  call: z.string(),
  slot: z.string(),
  by: z.string(),
  /** Idempotency key that came with the call. */
  key: z.string(),
});

/** One run of a call that may not be repeated. */
export type ServiceRun = Readonly<z.output<typeof serviceRunSchema>>;

/** The runs of all service processes; they outlive the processes. */
export class ServiceRuns {
  readonly #runs: ServiceRun[] = [];

  /** Keeps a run. */
  add(run: ServiceRun): void {
    this.#runs.push(run);
  }

  /** Returns the runs of a pool, or all of them, oldest first. */
  of(pool: string | undefined): readonly ServiceRun[] {
    return this.#runs.filter((run) => pool === undefined || run.pool === pool);
  }
}
