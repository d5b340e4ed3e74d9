import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { z } from "zod";
import { readJson, sendJson } from "../util/http_server.ts";
import { listenOnLoopback } from "../util/listen_on_loopback.ts";

/** Tables that only the operator and the upstreams may write. */
const clientReadOnlyTables: ReadonlySet<string> = new Set(["op", "servers"]);

const rowKeySchema = z.object({
  table: z.string(),
  part: z.string(),
  key: z.string(),
});

const transactionSchema = z.object({
  expected: z.array(rowKeySchema.extend({ ver: z.int() })),
  writes: z.array(rowKeySchema.extend({ value: z.string() })),
  deletes: z.array(rowKeySchema),
});

interface StoredRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value: string;
  readonly ver: number;
}

interface RowChange extends StoredRow {
  /** Set when the row was deleted. */
  readonly tombstone?: true;
}

type RowKey = Pick<StoredRow, "table" | "part" | "key">;

/** Faults of the store, which a test sets at any time. */
export interface RowsFaults {
  /** Answers every call with status 503. */
  down: boolean;
  /** Oldest version after which a feed can continue; before it, status 410. */
  oldestFeedVersion: number;
}

/** Rows of a store at one moment. */
export interface RowsCopy {
  readonly rows: readonly StoredRow[];
  readonly version: number;
}

/** Header with the era of the store. */
const eraHeader = "store-era";

/** Serves rows with transactions and a feed of changes over HTTP. */
export class RowsServer {
  readonly faults: RowsFaults = { down: false, oldestFeedVersion: 0 };
  readonly #rows = new Map<string, StoredRow>();
  #changes: readonly RowChange[] = [];
  /** Callbacks of the feed requests that wait for a change. */
  readonly #feedWaiters = new Set<() => void>();
  /** Feed requests that wait for a change, with their tables. */
  readonly #openFeeds = new Map<Promise<void>, string | null>();
  readonly #server: Server;
  #version = 0;
  #era = 1;

  constructor() {
    this.#server = createServer((request, response) => {
      void this.#handle(request, response);
    });
  }

  /** Starts to serve on a free loopback port; returns host and port. */
  start(): Promise<string> {
    return listenOnLoopback(this.#server);
  }

  /** Closes all connections and stops listening. */
  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a row on behalf of the operator or an upstream. */
  put(table: string, key: string, value: unknown): void {
    this.putBytes(table, key, Buffer.from(JSON.stringify(value)));
  }

  /** Writes a row with any bytes as its value. */
  putBytes(table: string, key: string, bytes: Uint8Array): void {
    const value = Buffer.from(bytes).toString("base64");
    this.#writeRow({ table, part: "", key, value }, ++this.#version);
    this.#wakeFeeds();
  }

  /** Deletes a row on behalf of the operator or an upstream. */
  remove(table: string, key: string): void {
    this.#deleteRow({ table, part: "", key }, ++this.#version);
    this.#wakeFeeds();
  }

  /** Version of the latest transaction. */
  get version(): number {
    return this.#version;
  }

  /** Returns a copy of all rows, for `restore`. */
  copy(): RowsCopy {
    return { rows: [...this.#rows.values()], version: this.#version };
  }

  /**
   * Replaces all rows by those of an older copy, in a new era. Open connections
   * are closed, as the store that held them is gone.
   */
  restore({ rows, version }: RowsCopy): void {
    this.#rows.clear();
    for (const row of rows) {
      this.#rows.set(rowId(row), row);
    }
    this.#version = version;
    this.#changes = this.#changes.filter(({ ver }) => ver <= version);
    this.#era += 1;
    this.#server.closeAllConnections();
    this.#wakeFeeds();
  }

  /** Whether a row with an empty part exists. */
  has(table: string, key: string): boolean {
    return this.#rows.has(rowId({ table, part: "", key }));
  }

  #writeRow(row: Omit<StoredRow, "ver">, ver: number): void {
    this.#rows.set(rowId(row), { ...row, ver });
    this.#changes = [...this.#changes, { ...row, ver }];
  }

  #deleteRow(row: RowKey, ver: number): void {
    this.#rows.delete(rowId(row));
    const change = { ...row, value: "", ver, tombstone: true } as const;
    this.#changes = [...this.#changes, change];
  }

  /** Resolves once the feed requests for a table that wait now are answered. */
  async waitForOpenFeeds(table: string): Promise<void> {
    await Promise.all(
      [...this.#openFeeds].filter(([, feedTable]) => feedTable === table)
        .map(([feed]) => feed),
    );
  }

  #wakeFeeds(): void {
    for (const notify of [...this.#feedWaiters]) {
      notify();
    }
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://store");
    if (this.faults.down) {
      this.#send(response, 503, {});
      return;
    }
    switch (`${request.method} ${url.pathname}`) {
      case "POST /rows-tx":
        this.#transact(await readJson(request), response);
        return;
      case "GET /rows-get":
        this.#sendRows(url.searchParams, response);
        return;
      case "GET /rows-feed":
        await this.#sendChanges(url.searchParams, response);
        return;
      default:
        this.#send(response, 404, {});
    }
  }

  #transact(body: unknown, response: ServerResponse): void {
    const { expected, writes, deletes } = transactionSchema.parse(body);
    if (
      [...writes, ...deletes].some(({ table }) =>
        clientReadOnlyTables.has(table)
      )
    ) {
      this.#send(response, 403, {});
      return;
    }
    const versionsMatch = expected.every((row) =>
      (this.#rows.get(rowId(row))?.ver ?? 0) === row.ver
    );
    if (!versionsMatch) {
      const rows = expected.flatMap((row) => this.#rows.get(rowId(row)) ?? []);
      this.#send(response, 412, { rows, ver: this.#version });
      return;
    }
    const ver = ++this.#version;
    for (const row of writes) {
      this.#writeRow(row, ver);
    }
    for (const row of deletes) {
      this.#deleteRow(row, ver);
    }
    this.#send(response, 200, { ver, nowMs: Math.round(performance.now()) });
    this.#wakeFeeds();
  }

  #sendRows(query: URLSearchParams, response: ServerResponse): void {
    const from = query.get("from") ?? "";
    const limit = Number(query.get("limit") ?? 500);
    const rows = [...this.#rows.values()]
      .filter(({ table, key }) => table === query.get("table") && key >= from)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    this.#send(response, 200, {
      rows: rows.slice(0, limit),
      hasMore: rows.length > limit,
      ver: this.#version,
      nowMs: Math.round(performance.now()),
    });
  }

  async #sendChanges(
    query: URLSearchParams,
    response: ServerResponse,
  ): Promise<void> {
    const after = Number(query.get("after"));
    if (after < this.faults.oldestFeedVersion || after > this.#version) {
      this.#send(response, 410, {});
      return;
    }
    const table = query.get("table");
    const newChanges = () =>
      this.#changes.filter((change) =>
        change.table === table && change.ver > after
      );
    if (newChanges().length === 0) {
      const change = this.#waitForChange(Number(query.get("waitMs")));
      this.#openFeeds.set(change, table);
      await change;
      this.#openFeeds.delete(change);
    }
    const ver = this.#version;
    this.#send(response, 200, { rows: newChanges(), ver, nowMs: 0 });
  }

  #send(response: ServerResponse, status: number, body: unknown): void {
    response.setHeader(eraHeader, this.#era);
    sendJson(response, status, body);
  }

  #waitForChange(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const notify = () => {
        clearTimeout(timer);
        this.#feedWaiters.delete(notify);
        resolve();
      };
      const timer = setTimeout(notify, milliseconds);
      this.#feedWaiters.add(notify);
    });
  }
}

function rowId({ table, part, key }: RowKey): string {
  return `${table}\n${part}\n${key}`;
}
