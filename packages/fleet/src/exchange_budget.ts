import type { Moment } from "@lavenderferry/runtime";
import { farPeers, nearPeers } from "./peer_selection.ts";

/** Bytes a second that a process may spend on control in all. */
export const controlBytesPerSecond = 21_000;

/** Share of them that the exchange takes; usage and duties have the rest. */
export const exchangeShare = 0.6;

/** Milliseconds between two exchanges with one peer. */
export const exchangeMs = 1_000;

/** Bytes of framing and headers around one message. */
export const overheadBytes = 200;

/** As many processes call this one, on average, as this one calls. */
const links = 2 * (nearPeers + farPeers);

/** A request and its reply. */
const messagesPerExchange = 2;

/** Bytes of what changed that one message carries. */
export const messageBytes = Math.floor(
  controlBytesPerSecond * exchangeShare * exchangeMs / 1_000 /
      (links * messagesPerExchange) - overheadBytes,
);

/** Bytes of the full state that a joining process is given at most. */
export const fullStateBytes = 524_288;

/** Seconds of budget that a burst of urgent messages may use at once. */
const burstSeconds = 2;

/** Bytes for urgent messages beside the periodic ones, as a token bucket. */
export class ExchangeBudget {
  readonly #perSecond = controlBytesPerSecond * exchangeShare;
  #tokens = this.#perSecond * burstSeconds;
  #filledAt = 0;

  /** Takes the bytes, if they are there. */
  take(bytes: number, at: Moment): boolean {
    this.#fill(at);
    if (this.#tokens < bytes) {
      return false;
    }
    this.#tokens -= bytes;
    return true;
  }

  /** Notes bytes that were spent in any case. */
  spend(bytes: number, at: Moment): void {
    this.#fill(at);
    this.#tokens = Math.max(0, this.#tokens - bytes);
  }

  #fill(at: Moment): void {
    const seconds = Math.max(0, at.monotonic - this.#filledAt) / 1_000;
    const capacity = this.#perSecond * burstSeconds;
    this.#tokens = Math.min(
      capacity,
      this.#tokens + seconds * this.#perSecond,
    );
    this.#filledAt = at.monotonic;
  }
}
