import type { Moment } from "@lavenderferry/runtime";
import type { DutyDirectory, DutyHolder } from "./duty_directory.ts";
import type { Exchange } from "./exchange.ts";

/** Passes the holders of duties on between processes. */
export class DutyRelay {
  readonly #duties: DutyDirectory;
  readonly #exchange: Exchange;

  constructor(duties: DutyDirectory, exchange: Exchange) {
    this.#duties = duties;
    this.#exchange = exchange;
  }

  /** Applies the record of a duty and sends it on if it is news. */
  publish(
    record: DutyHolder,
    { at, from }: { readonly at: Moment; readonly from?: string },
  ): void {
    if (!this.#duties.merge(record, at)) {
      return;
    }
    const { duty, holder, fence } = record;
    const origin = from === undefined ? {} : { from };
    this.#exchange.publish(
      "duties",
      { key: duty, value: { duty, holder, fence } },
      { at, urgent: true, ...origin },
    );
  }
}
