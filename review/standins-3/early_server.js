// A plain server that answers before it has read a long body, keeps the channel
// and reads on later.
import { once } from "node:events";
import { createServer } from "node:net";
import { ip, now } from "./system.js";

const headEnd = "\r\n\r\n";

/** Answers each request at its head, or once its body is complete. */
export class EarlyServer {
  /** Requests, with the bytes of the body that were read and when. */
  requests = [];
  #system;
  #options;
  #beats = null;
  #sequence = 0;
  #born = Date.now();

  constructor(system, options) {
    this.#system = system;
    this.#options = options;
    this.server = createServer((socket) => this.#serve(socket));
  }

  async start() {
    this.server.listen(0, ip);
    await once(this.server, "listening");
    this.#beat();
    this.#beats = setInterval(() => this.#beat(), 1_200);
    this.#system.closeLater(() => {
      clearInterval(this.#beats);
      this.server.close();
    });
  }

  #beat() {
    this.#system.store.put("servers", this.#options.instance, {
      service: "desk",
      address: `${ip}:${this.server.address().port}`,
      zone: "a",
      version: "v1",
      slots: 32,
      state: "ready",
      coldRemainingMs: 0,
      born: this.#born,
      sequence: ++this.#sequence,
    });
  }

  #serve(socket) {
    const { readsOnMs } = this.#options;
    let head = "";
    let request = null;
    socket.on("error", () => undefined);
    socket.on("data", (chunk) => {
      if (request !== null) {
        request.bytes += chunk.length;
      } else {
        head += chunk.toString("latin1");
        const end = head.indexOf(headEnd);
        if (end < 0) {
          return;
        }
        const fieldOf = (name) =>
          new RegExp(`\r\n${name}: *([^\r]*)`, "i").exec(head)?.[1] ?? "";
        request = {
          id: fieldOf("lavenderferry-request-id"),
          length: Number(fieldOf("content-length")),
          bytes: head.length - end - headEnd.length,
          at: now(),
          readAt: null,
        };
        this.requests.push(request);
        if (readsOnMs > 0) {
          this.#answer(socket, request);
          socket.pause();
          setTimeout(() => socket.resume(), readsOnMs);
        }
      }
      if (request.bytes >= request.length && request.readAt === null) {
        request.readAt = now();
        if (readsOnMs === 0) {
          this.#answer(socket, request);
        }
      }
    });
  }

  #answer(socket, { id }) {
    const body = `done ${id}`;
    socket.write(
      `HTTP/1.1 200 OK\r\nLavenderferry-Request-Id: ${id}\r\n` +
        `Lavenderferry-Response-Seal: seal.${id}\r\n` +
        `Content-Length: ${body.length}\r\n\r\n${body}`,
    );
  }
}
