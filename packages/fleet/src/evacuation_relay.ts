import type { ExchangeMessage__Output } from "@lavenderferry/protocol";
import type { EvacuationList, Evacuations } from "./evacuations.ts";
import type { Exchange } from "./exchange.ts";
import type { Link } from "./link.ts";

/** Passes the evacuations of data centres on between processes. */
export class EvacuationRelay {
  readonly #evacuations: Evacuations;
  readonly #exchange: Exchange;
  readonly #followsPeers: boolean;

  /** `followsPeers`: whether the news of peers is applied. */
  constructor(
    evacuations: Evacuations,
    exchange: Exchange,
    followsPeers: boolean,
  ) {
    this.#evacuations = evacuations;
    this.#exchange = exchange;
    this.#followsPeers = followsPeers;
  }

  /**
   * Applies the evacuations that the platform was asked for at `askedAt`, in
   * monotonic milliseconds; returns whether the data centres have changed.
   */
  read(list: EvacuationList, askedAt: number): boolean {
    const isChanged = this.#evacuations.read(list, askedAt);
    if (isChanged) {
      this.#exchange.announceEvacuations(this.#evacuations.changedIn);
    }
    return isChanged;
  }

  /**
   * Applies a peer's news; returns whether the data centres have changed.
   * `sentAt` is when a reply was asked for; `-Infinity` for a request.
   */
  apply(
    news: ExchangeMessage__Output["evacuations"],
    link: Link,
    sentAt: number,
  ): boolean {
    if (!this.#followsPeers || !news) {
      return false;
    }
    link.evacuationsVersion = news.version;
    const isChanged = this.#evacuations.merge(news, sentAt);
    if (isChanged) {
      this.#exchange.announceEvacuations(this.#evacuations.changedIn);
    }
    return isChanged;
  }
}
