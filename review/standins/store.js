// Stand-in for the platform's metadata store: rows, transactions and the feed.
import { createServer } from "node:http";
import { readText } from "./util.js";

/** Milliseconds that an answer takes. */
const answerMs = 4;

/** Serves the row calls of the platform's store on a loopback address. */
export class Store {
  #rows = new Map();
  #changes = [];
  #waiters = new Set();
  #version = 0;
  #era = 1;
  #server = createServer((request, response) => {
    void this.#handle(request, response);
  });

  async start() {
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a row for the operator or an engine; its return acknowledges it. */
  put(table, key, value) {
    const ver = ++this.#version;
    const row = {
      table,
      part: "",
      key,
      value: Buffer.from(JSON.stringify(value)).toString("base64"),
      ver,
    };
    this.#rows.set(`${table}/${key}`, row);
    this.#changes.push(row);
    this.#wake();
  }

  remove(table, key) {
    if (this.#rows.delete(`${table}/${key}`)) {
      const ver = ++this.#version;
      this.#changes.push({
        table,
        part: "",
        key,
        value: "",
        ver,
        tombstone: true,
      });
      this.#wake();
    }
  }

  #wake() {
    for (const notify of [...this.#waiters]) {
      notify();
    }
  }

  async #handle(request, response) {
    const url = new URL(request.url, "http://store");
    const query = Object.fromEntries(url.searchParams);
    const text = await readText(request);
    await new Promise((resolve) => setTimeout(resolve, answerMs));
    const [status, body] = await this.#answer(
      `${request.method} ${url.pathname}`,
      query,
      text,
    );
    const bytes = Buffer.from(JSON.stringify(body));
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": bytes.length,
      "store-era": String(this.#era),
    });
    response.end(bytes);
  }

  async #answer(call, query, text) {
    const nowMs = Math.round(performance.now());
    switch (call) {
      case "GET /rows-get": {
        const { table, from = "", to, limit = 500 } = query;
        const rows = [...this.#rows.values()]
          .filter((row) =>
            row.table === table && row.key >= from &&
            (to === undefined || row.key < to)
          )
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        return [200, {
          rows: rows.slice(0, Number(limit)),
          hasMore: rows.length > Number(limit),
          ver: this.#version,
          nowMs,
        }];
      }
      case "GET /rows-feed": {
        const after = Number(query.after);
        if (after > this.#version) {
          return [410, {}];
        }
        const find = () =>
          this.#changes.filter((row) =>
            row.table === query.table && row.ver > after
          );
        if (find().length === 0) {
          await this.#wait(Number(query.waitMs ?? 0));
        }
        return [200, { rows: find(), ver: this.#version, nowMs }];
      }
      case "POST /rows-tx":
        return this.#transact(JSON.parse(text), nowMs);
      default:
        return [404, {}];
    }
  }

  #transact({ expected = [], writes = [], deletes = [] }, nowMs) {
    if (
      [...writes, ...deletes].some(({ table }) =>
        table === "op" || table === "servers"
      )
    ) {
      return [403, {}];
    }
    const current = expected.map(({ table, key }) =>
      this.#rows.get(`${table}/${key}`)
    );
    if (expected.some(({ ver }, index) => (current[index]?.ver ?? 0) !== ver)) {
      const rows = current.filter((row) => row !== undefined);
      return [412, { rows, ver: this.#version, nowMs }];
    }
    const ver = ++this.#version;
    for (const { table, part, key, value } of writes) {
      const row = { table, part, key, value, ver };
      this.#rows.set(`${table}/${key}`, row);
      this.#changes.push(row);
    }
    for (const { table, part, key } of deletes) {
      this.#rows.delete(`${table}/${key}`);
      this.#changes.push({ table, part, key, value: "", ver, tombstone: true });
    }
    this.#wake();
    return [200, { ver, nowMs }];
  }

  #wait(milliseconds) {
    return new Promise((resolve) => {
      const notify = () => {
        clearTimeout(timer);
        this.#waiters.delete(notify);
        resolve();
      };
      const timer = setTimeout(notify, milliseconds);
      this.#waiters.add(notify);
    });
  }
}
