import { createParser } from "eventsource-parser";
import { tokenText } from "@lavenderferry/standins";
import { request } from "undici";
import type { HistoryRecord } from "../history/history_record.ts";

/** What a reader asks for. */
export interface ReaderAsk {
  readonly name: string;
  readonly class: string;
  /** Tokens that the engine makes. */
  readonly tokens: number;
  readonly stream: boolean;
}

/** How an answer ended. */
export interface ReaderEnd {
  /** `whole`, a kind of a problem, or `broken`. */
  readonly outcome: string;
  readonly tokens: number;
  /** Connections after the first one. */
  readonly reconnects: number;
}

/** What a reader is made from. */
export interface ReaderOptions {
  readonly key: string;
  /** Base addresses of the entries that it may use now. */
  readonly urls: () => readonly string[];
  readonly record: (record: HistoryRecord) => void;
}

/** How one connection ended. */
interface ConnectionEnd {
  readonly kind: "done" | "problem" | "moved" | "broken";
  readonly problem: string;
}

const silenceLimitMs = 6_000;
const reconnectWaitMs = 100;
const maxReconnects = 60;
/** Refusals after which the same request is sent to another entry. */
const retryable: readonly string[] = [
  "draining",
  "not_ready",
  "no_upstream",
  "overloaded",
  "upstream_refused",
];

/** Reads one answer to its end and reconnects to any entry on the way. */
export class Reader {
  readonly #options: ReaderOptions;
  #lastEventId = "";
  #tokens = 0;
  #reconnects = 0;

  constructor(options: ReaderOptions) {
    this.#options = options;
  }

  /** Tokens received so far. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Asks an entry and reads until the answer ends. */
  async read(ask: ReaderAsk, first = 0): Promise<ReaderEnd> {
    let place = first;
    let end = await this.#connect(this.#url(place), ask);
    while (this.#goesOn(end)) {
      place += 1;
      this.#reconnects += 1;
      await new Promise((resolve) => setTimeout(resolve, reconnectWaitMs));
      end = await this.#connect(this.#url(place), ask);
    }
    return this.#finish(ask, end);
  }

  #goesOn({ kind, problem }: ConnectionEnd): boolean {
    if (this.#reconnects >= maxReconnects) {
      return false;
    }
    const refused = kind === "problem" && retryable.includes(problem);
    const cut = kind === "broken" || kind === "moved";
    return refused || (cut && this.#lastEventId !== "");
  }

  #finish(ask: ReaderAsk, { kind, problem }: ConnectionEnd): ReaderEnd {
    const whole = kind === "done";
    this.#options.record({
      kind: "answer_ended",
      at: performance.now(),
      request: ask.name,
      whole,
      marked: whole,
      tokens: this.#tokens,
      expectedTokens: ask.tokens,
    });
    const outcome = whole ? "whole" : kind === "problem" ? problem : "broken";
    return { outcome, tokens: this.#tokens, reconnects: this.#reconnects };
  }

  #url(place: number): string {
    const urls = this.#options.urls();
    return urls[place % urls.length] ?? "";
  }

  async #connect(url: string, ask: ReaderAsk): Promise<ConnectionEnd> {
    const controller = new AbortController();
    const watch = () => setTimeout(() => controller.abort(), silenceLimitMs);
    let timer = watch();
    let end: ConnectionEnd = { kind: "broken", problem: "" };
    const parser = createParser({
      onEvent: ({ id, event, data }) => {
        if (event === "error") {
          end = problemOf(JSON.parse(data));
        } else if (event === "moved") {
          end = { kind: "moved", problem: "" };
        } else if (data === "[DONE]") {
          end = { kind: "done", problem: "" };
        } else if (id !== undefined) {
          this.#take(ask, id, data);
        }
      },
    });
    try {
      const response = await this.#send(url, ask, controller.signal);
      const type = String(response.headers["content-type"]);
      if (type !== "text/event-stream") {
        return this.#document(response.statusCode, await response.body.json());
      }
      const decoder = new TextDecoder();
      for await (const chunk of response.body) {
        clearTimeout(timer);
        timer = watch();
        parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
      }
    } catch {
      return end.kind === "done" ? { kind: "broken", problem: "" } : end;
    } finally {
      clearTimeout(timer);
    }
    return end;
  }

  #send(url: string, ask: ReaderAsk, signal: AbortSignal) {
    const timeouts = { bodyTimeout: 0, headersTimeout: 0 };
    const authorization = `Bearer ${this.#options.key}`;
    if (this.#lastEventId !== "") {
      const headers = { authorization, "last-event-id": this.#lastEventId };
      return request(`${url}/v1/streams`, { headers, signal, ...timeouts });
    }
    const content = `${ask.name} [out:${ask.tokens}]`;
    const body = JSON.stringify({
      model: "base",
      class: ask.class,
      stream: ask.stream,
      messages: [{ role: "user", content }],
    });
    return request(`${url}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization, "content-type": "application/json" },
      body,
      // A document comes at the end, so silence says nothing about it.
      ...(ask.stream ? { signal } : {}),
      ...timeouts,
    });
  }

  #document(status: number, json: unknown): ConnectionEnd {
    if (status !== 200) {
      return problemOf(json);
    }
    const { choices } = json as {
      choices: [{ message: { content: string } }];
    };
    this.#tokens = choices[0].message.content.trim().split(" ").length;
    return { kind: "done", problem: "" };
  }

  #take(ask: ReaderAsk, id: string, data: string): void {
    const [fields = "", , index = ""] = id.split(".");
    const text = Buffer.from(fields, "base64url").toString();
    const generation = String((JSON.parse(text) as unknown[])[1]);
    const chunk = JSON.parse(data) as {
      choices: [{ delta: { content: string } }];
    };
    this.#lastEventId = id;
    this.#tokens += 1;
    this.#options.record({
      kind: "token_read",
      at: performance.now(),
      request: ask.name,
      generation,
      index: Number(index),
      text: chunk.choices[0].delta.content,
      expected: tokenText(generation, Number(index)),
    });
  }
}

function problemOf(json: unknown): ConnectionEnd {
  const { kind } = json as { kind: string };
  return { kind: "problem", problem: kind };
}
