import type { ItemKind, ItemValues } from "./item.ts";
import { itemBytes, itemKinds, maxItems } from "./item.ts";

/** One item with what is needed to send it. */
export interface Item<Kind extends ItemKind = ItemKind> {
  readonly kind: Kind;
  readonly key: string;
  readonly value: ItemValues[Kind];
  readonly bytes: number;
  /** Monotonic milliseconds of the last change. */
  readonly changedAt: number;
}

type Shelves = { readonly [Kind in ItemKind]: Map<string, Item<Kind>> };

/** The items that a process tells its peers, bounded by kind. */
export class ItemStore {
  readonly #shelves: Shelves = {
    marks: new Map(),
    members: new Map(),
    duties: new Map(),
    shares: new Map(),
    lengths: new Map(),
  };

  /** Keeps an item; refuses a new key beyond the bound of its kind. */
  set<Kind extends ItemKind>(
    kind: Kind,
    key: string,
    { value, changedAt }: Pick<Item<Kind>, "value" | "changedAt">,
  ): boolean {
    const shelf = this.#shelves[kind] as Map<string, Item<Kind>>;
    if (!shelf.has(key) && shelf.size >= maxItems[kind]) {
      return false;
    }
    shelf.delete(key);
    const bytes = itemBytes(kind, value);
    shelf.set(key, { kind, key, value, bytes, changedAt });
    return true;
  }

  /** Returns an item. */
  get<Kind extends ItemKind>(kind: Kind, key: string): Item<Kind> | undefined {
    return (this.#shelves[kind] as Map<string, Item<Kind>>).get(key);
  }

  /** Forgets an item. */
  delete(kind: ItemKind, key: string): void {
    this.#shelves[kind].delete(key);
  }

  /** Returns the items of a kind, the least recently changed first. */
  of<Kind extends ItemKind>(kind: Kind): readonly Item<Kind>[] {
    return [...this.#shelves[kind].values()] as unknown as Item<Kind>[];
  }

  /** Returns all items, the most urgent kinds first. */
  all(): readonly Item[] {
    return itemKinds.flatMap((kind) => this.of(kind) as readonly Item[]);
  }
}
