import type { Moment } from "@lavenderferry/runtime";
import { exchangeIntervalMs } from "./exchange_intervals.ts";
import { farPeers, nearPeers } from "./peer_selection.ts";

/** Bytes per second that a process may use for all control messages. */
export const controlBytesPerSecond = 21_000;

/**
 * Share of `controlBytesPerSecond` for the exchange; the rest is for usage and
 * duties.
 */
export const exchangeShare = 0.6;

/** Bytes of framing and headers around one message. */
export const messageOverheadBytes = 200;

/** Average links of a process: as many peers call it as it calls. */
const averageLinks = 2 * (nearPeers + farPeers);

/** Messages of one exchange: a request and its reply. */
const messagesPerExchange = 2;

/** Maximum size of the items in one message. */
export const maxMessageItemBytes = Math.floor(
  controlBytesPerSecond * exchangeShare * exchangeIntervalMs / 1_000 /
      (averageLinks * messagesPerExchange) - messageOverheadBytes,
);

/** Maximum size of the items in a reply with the full state. */
export const maxFullStateBytes = 524_288;

/** Capacity of the token bucket, in seconds of budget. */
const burstSeconds = 2;

/** A token bucket of bytes that limits urgent messages. */
export class ExchangeBudget {
  readonly #bytesPerSecond = controlBytesPerSecond * exchangeShare;
  #availableBytes = this.#bytesPerSecond * burstSeconds;
  #refilledAt = 0;

  /** Spends bytes if enough are available; returns whether they were. */
  trySpend(bytes: number, at: Moment): boolean {
    this.#refill(at);
    if (this.#availableBytes < bytes) {
      return false;
    }
    this.#availableBytes -= bytes;
    return true;
  }

  /** Spends bytes of a message that is sent regardless of the budget. */
  spend(bytes: number, at: Moment): void {
    this.#refill(at);
    this.#availableBytes = Math.max(0, this.#availableBytes - bytes);
  }

  #refill(at: Moment): void {
    const seconds = Math.max(0, at.monotonic - this.#refilledAt) / 1_000;
    const capacity = this.#bytesPerSecond * burstSeconds;
    this.#availableBytes = Math.min(
      capacity,
      this.#availableBytes + seconds * this.#bytesPerSecond,
    );
    this.#refilledAt = at.monotonic;
  }
}
