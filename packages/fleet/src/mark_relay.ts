import type { DrainingMark__Output } from "@lavenderferry/protocol";
import type { Moment } from "@lavenderferry/runtime";
import type { Exchange } from "./exchange.ts";
import type { Link } from "./link.ts";
import { readMark, writeMark } from "./mark_codec.ts";
import type { Mark, Marks } from "./marks.ts";

/** Passes marks of upstreams on between processes. */
export class MarkRelay {
  readonly #marks: Marks;
  readonly #exchange: Exchange;

  constructor(marks: Marks, exchange: Exchange) {
    this.#marks = marks;
    this.#exchange = exchange;
  }

  /** Adds a mark and sends it on; returns whether it is new. */
  publish(
    mark: Mark,
    { at, from }: { readonly at: Moment; readonly from?: string },
  ): boolean {
    if (!this.#marks.add(mark, at)) {
      return false;
    }
    const { upstream: key } = mark;
    const value = writeMark(mark);
    const origin = from === undefined ? {} : { from };
    const options = { at, urgent: true, ...origin };
    this.#exchange.publish("marks", { key, value }, options);
    return true;
  }

  /**
   * Applies a mark of a peer and returns it if it is new, else `null`. An older
   * one is answered with the known one.
   */
  apply(
    record: DrainingMark__Output,
    { at, link }: { readonly at: Moment; readonly link: Link },
  ): Mark | null {
    const mark = readMark(record, this.#marks.listVersion);
    if (mark === null) {
      return null;
    }
    const { upstream, version } = mark;
    const isNew = this.publish(mark, { at, from: link.id });
    const knownVersion = this.#marks.get(upstream)?.version ?? 0;
    if (knownVersion <= version) {
      link.remove("marks", upstream);
    } else {
      link.add("marks", upstream);
    }
    return isNew ? mark : null;
  }
}
