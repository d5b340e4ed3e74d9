import type { ItemKind, ItemValues } from "./item.ts";
import { itemBytes, itemKinds, maxItems } from "./item.ts";

/** One item with its estimated size and the time of its last change. */
export interface Item<Kind extends ItemKind = ItemKind> {
  readonly kind: Kind;
  readonly key: string;
  readonly value: ItemValues[Kind];
  readonly bytes: number;
  /** Monotonic milliseconds of the last change. */
  readonly changedAt: number;
}

type ItemsByKind = { readonly [Kind in ItemKind]: Map<string, Item<Kind>> };

/** The items that a process sends to its peers, bounded by kind. */
export class ItemStore {
  readonly #items: ItemsByKind = {
    marks: new Map(),
    suspects: new Map(),
    limits: new Map(),
    members: new Map(),
    duties: new Map(),
    shares: new Map(),
    lengths: new Map(),
  };

  /** Stores an item; returns `false` for a new key if its kind is full. */
  set<Kind extends ItemKind>(
    kind: Kind,
    key: string,
    { value, changedAt }: Pick<Item<Kind>, "value" | "changedAt">,
  ): boolean {
    const items = this.#items[kind] as Map<string, Item<Kind>>;
    if (!items.has(key) && items.size >= maxItems[kind]) {
      return false;
    }
    items.delete(key);
    const bytes = itemBytes(kind, value);
    items.set(key, { kind, key, value, bytes, changedAt });
    return true;
  }

  get<Kind extends ItemKind>(kind: Kind, key: string): Item<Kind> | undefined {
    return (this.#items[kind] as Map<string, Item<Kind>>).get(key);
  }

  delete(kind: ItemKind, key: string): void {
    this.#items[kind].delete(key);
  }

  /** Returns the items of a kind, the least recently changed first. */
  ofKind<Kind extends ItemKind>(kind: Kind): readonly Item<Kind>[] {
    return [...this.#items[kind].values()] as unknown as Item<Kind>[];
  }

  /** Returns all items, the most urgent kinds first. */
  all(): readonly Item[] {
    return itemKinds.flatMap((kind) => this.ofKind(kind) as readonly Item[]);
  }
}
