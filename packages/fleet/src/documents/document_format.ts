/**
 * How a document is divided: a head, and lists of items that are sent, compared
 * and validated one by one.
 */
export interface DocumentFormat {
  /** Names of the fields that hold lists, or `null`. */
  readonly lists: readonly string[];
  /**
   * Validates the fields, with lengths in the place of lists; returns `null` if
   * they are invalid.
   */
  readonly readHead: (value: unknown) => object | null;
  /** Validates an item of a list; returns `null` if it is invalid. */
  readonly readItem: (list: string, value: unknown) => object | null;
}

/** Lengths of the lists of a document by name; `null` for a missing list. */
type ListLengths = Readonly<Record<string, number | null>>;

/** A document divided into a head and items, without its JSON. */
export interface DividedDocument {
  /** The head with the lengths of the lists in their place. */
  readonly head: object;
  /** Items of all lists, in the order of the format. */
  readonly items: readonly object[];
}

/** Divides a document into its head and its items. */
export function divideDocument(
  document: object,
  { lists }: DocumentFormat,
): DividedDocument {
  const fields = document as Readonly<Record<string, unknown>>;
  const lengths: Record<string, number | null> = {};
  let items: readonly object[] = [];
  for (const list of lists) {
    const entries = fields[list] as readonly object[] | null;
    lengths[list] = entries?.length ?? null;
    items = items.concat(entries ?? []);
  }
  return { head: { ...document, ...lengths }, items };
}

/** Joins a head and items to a document; returns `null` if they do not fit. */
export function joinDocument(
  { head, items }: DividedDocument,
  format: DocumentFormat,
): object | null {
  const lengths = head as ListLengths;
  const validHead = format.readHead(head);
  if (validHead === null) {
    return null;
  }
  const lists: Record<string, readonly object[] | null> = {};
  let start = 0;
  for (const list of format.lists) {
    const length = lengths[list] ?? null;
    const end = start + (length ?? 0);
    lists[list] = length === null ? null : items.slice(start, end);
    start = end;
  }
  return start === items.length ? { ...validHead, ...lists } : null;
}

/** Yields the name of the list of each item that a head announces. */
export function* listNames(
  head: object,
  { lists }: DocumentFormat,
): Generator<string> {
  for (const list of lists) {
    const length = (head as ListLengths)[list] ?? 0;
    for (let index = 0; index < length; index++) {
      yield list;
    }
  }
}
