import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { z } from "zod";
import { readJson, sendJson } from "../util/http_server.ts";
import { listenOnLoopback } from "../util/listen_on_loopback.ts";

/** Tables that only the operator and the upstreams write. */
const foreignTables: ReadonlySet<string> = new Set(["op", "servers"]);

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

interface Change extends StoredRow {
  readonly tombstone?: true;
}

type RowKey = Pick<StoredRow, "table" | "part" | "key">;

/** Faults of the store, set by a test. */
export interface RowsFaults {
  /** Answers every call with status 503. */
  down: boolean;
  /** Oldest version that a feed can be continued after. */
  historyFrom: number;
}

/** A store of rows with transactions and a feed, spoken over HTTP. */
export class RowsServer {
  readonly faults: RowsFaults = { down: false, historyFrom: 0 };
  readonly #rows = new Map<string, StoredRow>();
  readonly #changes: Change[] = [];
  readonly #waiting = new Set<() => void>();
  readonly #server: Server;
  #version = 0;

  constructor() {
    this.#server = createServer((request, response) => {
      void this.#answer(request, response);
    });
  }

  /** Starts to serve on a free port; returns the address. */
  start(): Promise<string> {
    return listenOnLoopback(this.#server);
  }

  /** Closes all connections. */
  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a row as the operator or an upstream does. */
  put(table: string, key: string, value: unknown): void {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#change({ table, part: "", key, value: text }, ++this.#version);
    this.#wake();
  }

  /** Removes a row as the operator or an upstream does. */
  remove(table: string, key: string): void {
    this.#remove({ table, part: "", key }, ++this.#version);
    this.#wake();
  }

  #change(row: Omit<StoredRow, "ver">, ver: number): void {
    this.#rows.set(idOf(row), { ...row, ver });
    this.#changes.push({ ...row, ver });
  }

  #remove(row: RowKey, ver: number): void {
    this.#rows.delete(idOf(row));
    this.#changes.push({ ...row, value: "", ver, tombstone: true });
  }

  #wake(): void {
    for (const wake of [...this.#waiting]) {
      wake();
    }
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://store");
    if (this.faults.down) {
      sendJson(response, 503, {});
      return;
    }
    switch (`${request.method} ${url.pathname}`) {
      case "POST /rows-tx":
        this.#transact(await readJson(request), response);
        return;
      case "GET /rows-get":
        this.#list(url.searchParams, response);
        return;
      case "GET /rows-feed":
        await this.#feed(url.searchParams, response);
        return;
      default:
        sendJson(response, 404, {});
    }
  }

  #transact(body: unknown, response: ServerResponse): void {
    const { expected, writes, deletes } = transactionSchema.parse(body);
    if ([...writes, ...deletes].some(({ table }) => foreignTables.has(table))) {
      sendJson(response, 403, {});
      return;
    }
    const held = expected.every((row) =>
      (this.#rows.get(idOf(row))?.ver ?? 0) === row.ver
    );
    if (!held) {
      const rows = expected.flatMap((row) => this.#rows.get(idOf(row)) ?? []);
      sendJson(response, 412, { rows, ver: this.#version });
      return;
    }
    const ver = ++this.#version;
    for (const row of writes) {
      this.#change(row, ver);
    }
    for (const row of deletes) {
      this.#remove(row, ver);
    }
    sendJson(response, 200, { ver, nowMs: Math.round(performance.now()) });
    this.#wake();
  }

  #list(query: URLSearchParams, response: ServerResponse): void {
    const from = query.get("from") ?? "";
    const limit = Number(query.get("limit") ?? 500);
    const rows = [...this.#rows.values()]
      .filter(({ table, key }) => table === query.get("table") && key >= from)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    sendJson(response, 200, {
      rows: rows.slice(0, limit),
      hasMore: rows.length > limit,
      ver: this.#version,
      nowMs: Math.round(performance.now()),
    });
  }

  async #feed(query: URLSearchParams, response: ServerResponse): Promise<void> {
    const after = Number(query.get("after"));
    if (after < this.faults.historyFrom) {
      sendJson(response, 410, {});
      return;
    }
    const table = query.get("table");
    const changed = () =>
      this.#changes.filter((each) => each.table === table && each.ver > after);
    if (changed().length === 0) {
      await this.#wait(Number(query.get("waitMs")));
    }
    const ver = this.#version;
    sendJson(response, 200, { rows: changed(), ver, nowMs: 0 });
  }

  #wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.#waiting.add(wake);
    });
  }
}

function idOf({ table, part, key }: RowKey): string {
  return `${table}\n${part}\n${key}`;
}
