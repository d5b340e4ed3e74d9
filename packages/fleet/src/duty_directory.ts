import type { Moment } from "@lavenderferry/runtime";

/** The holder of a duty, as received from peers. */
export interface DutyHolder {
  readonly duty: string;
  /** Id of the holder; empty when the duty was released. */
  readonly holder: string;
  readonly fence: number;
}

/** Maximum number of duties whose holders a process keeps. */
export const maxDuties = 1_024;

/** The holder of each duty under the highest fence received. */
export class DutyDirectory {
  readonly #holders = new Map<string, DutyHolder & { receivedAt: number }>();

  /** Merges a record; returns whether it is newer than the known one. */
  merge(record: DutyHolder, at: Moment): boolean {
    const known = this.#holders.get(record.duty);
    if (known === undefined && this.#holders.size >= maxDuties) {
      return false;
    }
    const newer = known === undefined || record.fence > known.fence ||
      (record.fence === known.fence && record.holder === "" &&
        known.holder !== "");
    if (newer) {
      const { duty, holder, fence } = record;
      const receivedAt = at.monotonic;
      this.#holders.set(duty, { duty, holder, fence, receivedAt });
    }
    return newer;
  }

  /** Returns the last known holder of a duty. */
  get(
    duty: string,
  ): (DutyHolder & { readonly receivedAt: number }) | undefined {
    return this.#holders.get(duty);
  }

  /** Returns the last known holders of all duties. */
  all(): readonly DutyHolder[] {
    return [...this.#holders.values()];
  }
}
