// Clients that keep their channels for many requests.
import { Agent, request } from "node:http";

let nextId = 1;

/** Returns a request id that no other attempt of this run has. */
export function newId(prefix) {
  return `${prefix}-${process.pid.toString(16)}-${nextId++}`;
}

/** A client with one channel to one relay. */
export class Client {
  #agent = new Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 });

  constructor(address, { host = "one.example", key = "key-1" } = {}) {
    this.address = address;
    this.host = host;
    this.key = key;
  }

  close() {
    this.#agent.destroy();
  }

  /** Sends a request; resolves with its answer once the answer has ended. */
  send({
    id = newId("r"),
    method = "POST",
    path,
    headers = {},
    body = "",
    deadlineMs = 3_000,
    onChunk = () => undefined,
  }) {
    const started = performance.now();
    const answer = {
      id,
      path,
      sentAt: started,
      status: null,
      sealed: false,
      text: "",
      complete: false,
      kept: false,
      error: null,
    };
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        answer.endedAt = performance.now();
        resolve(answer);
      };
      const call = request(`http://${this.address}${path}`, {
        method,
        agent: this.#agent,
        headers: {
          host: this.host,
          "lavenderferry-request-id": id,
          "lavenderferry-deadline-ms": String(deadlineMs),
          ...(this.key === null ? {} : { authorization: `Bearer ${this.key}` }),
          ...headers,
          ...(method === "GET" ? {} : { "content-length": body.length }),
        },
      });
      const timer = setTimeout(() => {
        answer.error = "time budget";
        call.destroy();
      }, deadlineMs + 1_000);
      call.on("socket", () => {
        answer.kept = call.reusedSocket;
      });
      call.on("response", (response) => {
        answer.status = response.statusCode;
        answer.headers = response.headers;
        answer.sealed =
          response.headers["lavenderferry-response-seal"] !== undefined;
        response.on("data", (chunk) => {
          answer.text += chunk;
          onChunk(answer);
        });
        response.on("error", (error) => {
          answer.error = error.code ?? error.message;
        });
        response.on("close", () => {
          answer.complete = response.complete;
          end();
        });
      });
      call.on("error", (error) => {
        answer.error ??= error.code ?? error.message;
        if (answer.status === null) {
          end();
        }
      });
      call.end(body);
    });
  }
}
