import type { Moment } from "@lavenderferry/runtime";

/** Who holds a duty, as the exchange tells. */
export interface DutyHolder {
  readonly duty: string;
  /** Id of the holding process; empty when the duty was given up. */
  readonly holder: string;
  readonly fence: number;
}

/** Duties that a process remembers at most. */
export const maxDuties = 1_024;

/** The holders of the duties, by the highest fence that was heard. */
export class DutyDirectory {
  readonly #holders = new Map<string, DutyHolder & { heardAt: number }>();

  /** Takes a record; returns whether it was news. */
  learn(record: DutyHolder, at: Moment): boolean {
    const known = this.#holders.get(record.duty);
    if (known === undefined && this.#holders.size >= maxDuties) {
      return false;
    }
    const newer = known === undefined || record.fence > known.fence ||
      (record.fence === known.fence && record.holder === "" &&
        known.holder !== "");
    if (newer) {
      const { duty, holder, fence } = record;
      const heardAt = at.monotonic;
      this.#holders.set(duty, { duty, holder, fence, heardAt });
    }
    return newer;
  }

  /** Returns what is known of a duty. */
  get(duty: string): (DutyHolder & { readonly heardAt: number }) | undefined {
    return this.#holders.get(duty);
  }

  /** Returns the duties by name. */
  all(): readonly DutyHolder[] {
    return [...this.#holders.values()];
  }
}
