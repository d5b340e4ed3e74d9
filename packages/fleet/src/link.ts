import type { ItemKind } from "./item.ts";
import { forwardedKinds, itemKinds } from "./item.ts";
import type { Item, ItemStore } from "./item_store.ts";

/** What a message took from a link's queues. */
export interface Batch {
  readonly items: readonly Item[];
  readonly bytes: number;
}

/** What one process still has to tell one peer. Bounded by the store's keys. */
export class Link {
  readonly id: string;
  address: string;
  /** Run of the peer; empty until it was heard. */
  epoch = "";
  /** Whether this process chose the peer. */
  chosen = false;
  /** Monotonic milliseconds of the next periodic exchange. */
  nextAt = 0;
  /** Monotonic milliseconds at which the peer was last heard. */
  heardAt = 0;
  /** Highest configuration version that the peer stated. */
  version = 0;
  /** Sequence of the last request that came in. */
  requested = 0;
  /** Sequence of the last reply that came in. */
  replied = 0;
  /** Whether a request is on its way. */
  busy = false;
  /** Whether something urgent waits. */
  urgent = false;
  readonly #pending = new Map<ItemKind, Set<string>>(
    itemKinds.map((kind) => [kind, new Set()]),
  );
  #request: readonly Item[] = [];
  #reply: { readonly sequence: number; readonly items: readonly Item[] } = {
    sequence: 0,
    items: [],
  };

  constructor(id: string, address: string) {
    this.id = id;
    this.address = address;
  }

  /** Number of items that wait. */
  get waiting(): number {
    return [...this.#pending.values()]
      .reduce((sum, keys) => sum + keys.size, 0);
  }

  /** Queues an item that changed. */
  add(kind: ItemKind, key: string): void {
    this.#pending.get(kind)?.add(key);
  }

  /** Drops an item that the peer itself just told. */
  remove(kind: ItemKind, key: string): void {
    this.#pending.get(kind)?.delete(key);
  }

  /**
   * Takes the most urgent items that fit. News that is passed on goes newest
   * first; the process's own figures go oldest first, so that none starves.
   */
  take(store: ItemStore, budget: number): Batch {
    const items: Item[] = [];
    let bytes = 0;
    for (const [kind, keys] of this.#pending) {
      const order = forwardedKinds.has(kind) ? [...keys].reverse() : [...keys];
      for (const key of order) {
        const item: Item | undefined = store.get(kind, key);
        if (item === undefined) {
          keys.delete(key);
        } else if (bytes + item.bytes <= budget || items.length === 0) {
          keys.delete(key);
          items.push(item);
          bytes += item.bytes;
        }
      }
    }
    return { items, bytes };
  }

  /** Remembers what the request on its way carries. */
  sent(items: readonly Item[]): void {
    this.#request = items;
    this.busy = true;
    this.urgent = false;
  }

  /** The request arrived. */
  arrived(): void {
    this.#request = [];
    this.busy = false;
  }

  /** The request may not have arrived: its items wait again. */
  lost(): void {
    this.#requeue(this.#request);
    this.#request = [];
    this.busy = false;
  }

  /** Remembers what a reply carries until the peer acknowledges it. */
  answered(sequence: number, items: readonly Item[]): void {
    this.#reply = { sequence, items };
  }

  /** Takes the peer's acknowledgement; an older reply's items wait again. */
  acknowledged(sequence: number): void {
    if (sequence !== this.#reply.sequence) {
      this.#requeue(this.#reply.items);
    }
    this.#reply = { sequence: 0, items: [] };
  }

  #requeue(items: readonly Item[]): void {
    for (const { kind, key } of items) {
      this.add(kind, key);
    }
  }
}
