import { exchangeIntervalMs } from "./exchange_intervals.ts";
import type { ItemKind } from "./item.ts";
import { forwardedKinds, itemKinds } from "./item.ts";
import type { Item, ItemStore } from "./item_store.ts";

/** Items taken from a link's queues for one message. */
export interface ItemBatch {
  readonly items: readonly Item[];
  readonly bytes: number;
}

/**
 * The state of the exchange with one peer and the queue of items to send to it.
 * The queue holds keys of the item store, so the store's bounds limit it.
 */
export class Link {
  readonly id: string;
  address: string;
  /** Epoch of the peer's run; empty until it has sent a message. */
  epoch = "";
  /** Whether this process chose the peer for periodic exchanges. */
  chosen = false;
  /** Milliseconds between periodic exchanges. */
  intervalMs = exchangeIntervalMs;
  /** Monotonic milliseconds of the next periodic exchange. */
  nextExchangeAt = 0;
  /** Monotonic milliseconds at which a message was last received. */
  lastReceivedAt = 0;
  /** Highest configuration version that the peer stated. */
  configurationVersion = 0;
  /** Whether the peer serves the configuration by calls of its own. */
  readsDocuments = false;
  /** Version of the list of upstreams that the peer last stated. */
  listVersion = 0;
  /** Version of the evacuations that the peer last stated. */
  evacuationsVersion = 0;
  /** Whether the peer wants all upstreams if it lacks earlier changes. */
  wantsUpstreams = false;
  /** Monotonic milliseconds at which the last request was sent. */
  requestSentAt = -Infinity;
  /** Highest sequence of the requests received. */
  lastRequestSequence = 0;
  /** Sequence of the last reply received. */
  lastReplySequence = 0;
  requestInFlight = false;
  /** Whether to send without waiting for the next periodic exchange. */
  urgent = false;
  readonly #pending = new Map<ItemKind, Set<string>>(
    itemKinds.map((kind) => [kind, new Set()]),
  );
  #requestItems: readonly Item[] = [];
  #unacknowledgedReply: {
    readonly sequence: number;
    readonly items: readonly Item[];
  } = {
    sequence: 0,
    items: [],
  };

  constructor(id: string, address: string) {
    this.id = id;
    this.address = address;
  }

  /** Whether the peer has sent anything since the last request to it. */
  get hasReceivedSinceRequest(): boolean {
    return this.lastReceivedAt > this.requestSentAt;
  }

  /** Number of items queued for the peer. */
  get queuedItemCount(): number {
    return [...this.#pending.values()]
      .reduce((sum, keys) => sum + keys.size, 0);
  }

  /** Queues an item. */
  add(kind: ItemKind, key: string): void {
    this.#pending.get(kind)?.add(key);
  }

  /** Removes an item from the queue, as the peer already has it. */
  remove(kind: ItemKind, key: string): void {
    this.#pending.get(kind)?.delete(key);
  }

  /**
   * Takes the most urgent items that fit. Forwarded kinds go newest first; the
   * process's own figures go oldest first, so that none starves.
   */
  takeItems(store: ItemStore, budgetBytes: number): ItemBatch {
    const items: Item[] = [];
    let bytes = 0;
    for (const [kind, keys] of this.#pending) {
      const ordered = forwardedKinds.has(kind)
        ? [...keys].reverse()
        : [...keys];
      for (const key of ordered) {
        const item: Item | undefined = store.get(kind, key);
        if (item === undefined) {
          keys.delete(key);
        } else if (bytes + item.bytes <= budgetBytes || items.length === 0) {
          keys.delete(key);
          items.push(item);
          bytes += item.bytes;
        }
      }
    }
    return { items, bytes };
  }

  /** Keeps the items of a sent request until it is delivered or fails. */
  requestSent(items: readonly Item[]): void {
    this.#requestItems = items;
    this.requestInFlight = true;
    this.urgent = false;
  }

  /** Discards the items of the request, which was delivered. */
  requestDelivered(): void {
    this.#requestItems = [];
    this.requestInFlight = false;
  }

  /** Queues the items of the request again, as it may not have arrived. */
  requestFailed(): void {
    this.#requeue(this.#requestItems);
    this.#requestItems = [];
    this.requestInFlight = false;
  }

  /** Keeps the items of a sent reply until the peer acknowledges it. */
  replySent(sequence: number, items: readonly Item[]): void {
    this.#unacknowledgedReply = { sequence, items };
  }

  /** Queues the last reply's items again unless the peer acknowledged it. */
  acknowledgementReceived(sequence: number): void {
    if (sequence !== this.#unacknowledgedReply.sequence) {
      this.#requeue(this.#unacknowledgedReply.items);
    }
    this.#unacknowledgedReply = { sequence: 0, items: [] };
  }

  #requeue(items: readonly Item[]): void {
    for (const { kind, key } of items) {
      this.add(kind, key);
    }
  }
}
