import { createParser } from "eventsource-parser";
import { tokenText } from "@lavenderferry/standins";
import { request } from "undici";
import type { HistoryRecord } from "../history/history_record.ts";

/** Generation that a reader requests. */
export interface ReaderRequest {
  /** Name of the request in the history, also the start of its prompt. */
  readonly name: string;
  readonly class: string;
  /** Number of tokens that the prompt asks the engine for. */
  readonly tokens: number;
  readonly stream: boolean;
}

/** Outcome of a reader's answer. */
export interface ReaderResult {
  /**
   * `whole` for a complete answer, `broken` after a connection error, otherwise
   * the kind of the problem that ended it.
   */
  readonly outcome: string;
  readonly tokens: number;
  /** Connections after the first one. */
  readonly reconnects: number;
}

/** Options of a {@link Reader}. */
export interface ReaderOptions {
  /** Caller key. */
  readonly key: string;
  /** Returns the base addresses of the entries that run at present. */
  readonly urls: () => readonly string[];
  /** Called with each observation. */
  readonly record: (record: HistoryRecord) => void;
}

/** How one connection ended. */
interface ConnectionEnd {
  readonly kind: "done" | "problem" | "moved" | "broken";
  /** Kind of the problem document; empty for the other ends. */
  readonly problem: string;
}

/** A connection of a stream without bytes for this long is aborted. */
const silenceTimeoutMs = 6_000;
const reconnectDelayMs = 100;
const maxReconnects = 60;
/** Kinds of refusals after which the request is sent to another entry. */
const retryableKinds: readonly string[] = [
  "draining",
  "not_ready",
  "no_upstream",
  "overloaded",
  "upstream_refused",
];

/**
 * Reads one answer to its end. Goes to the next entry if the request is refused
 * with a retryable kind, or to resume a stream that was cut or moved.
 */
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

  /** Requests the answer, first from the entry at the index, and reads it. */
  async read(
    readerRequest: ReaderRequest,
    firstEntryIndex = 0,
  ): Promise<ReaderResult> {
    let entryIndex = firstEntryIndex;
    let end = await this.#connect(this.#entryUrl(entryIndex), readerRequest);
    while (this.#shouldReconnect(end)) {
      entryIndex += 1;
      this.#reconnects += 1;
      await new Promise((resolve) => setTimeout(resolve, reconnectDelayMs));
      end = await this.#connect(this.#entryUrl(entryIndex), readerRequest);
    }
    return this.#recordEnd(readerRequest, end);
  }

  #shouldReconnect({ kind, problem }: ConnectionEnd): boolean {
    if (this.#reconnects >= maxReconnects) {
      return false;
    }
    const refused = kind === "problem" && retryableKinds.includes(problem);
    const disconnected = kind === "broken" || kind === "moved";
    return refused || (disconnected && this.#lastEventId !== "");
  }

  #recordEnd(
    readerRequest: ReaderRequest,
    { kind, problem }: ConnectionEnd,
  ): ReaderResult {
    const complete = kind === "done";
    this.#options.record({
      kind: "answer_ended",
      at: performance.now(),
      request: readerRequest.name,
      whole: complete,
      marked: complete,
      tokens: this.#tokens,
      expectedTokens: readerRequest.tokens,
    });
    const outcome = complete
      ? "whole"
      : kind === "problem"
      ? problem
      : "broken";
    return { outcome, tokens: this.#tokens, reconnects: this.#reconnects };
  }

  #entryUrl(entryIndex: number): string {
    const urls = this.#options.urls();
    return urls[entryIndex % urls.length] ?? "";
  }

  async #connect(
    url: string,
    readerRequest: ReaderRequest,
  ): Promise<ConnectionEnd> {
    const controller = new AbortController();
    const startSilenceTimer = () =>
      setTimeout(() => controller.abort(), silenceTimeoutMs);
    let timer = startSilenceTimer();
    let end: ConnectionEnd = { kind: "broken", problem: "" };
    const parser = createParser({
      onEvent: ({ id, event, data }) => {
        if (event === "error") {
          end = problemEnd(JSON.parse(data));
        } else if (event === "moved") {
          end = { kind: "moved", problem: "" };
        } else if (data === "[DONE]") {
          end = { kind: "done", problem: "" };
        } else if (id !== undefined) {
          this.#recordToken(readerRequest, id, data);
        }
      },
    });
    try {
      const response = await this.#send(url, readerRequest, controller.signal);
      const contentType = String(response.headers["content-type"]);
      if (contentType !== "text/event-stream") {
        return this.#readDocument(
          response.statusCode,
          await response.body.json(),
        );
      }
      const decoder = new TextDecoder();
      for await (const chunk of response.body) {
        clearTimeout(timer);
        timer = startSilenceTimer();
        parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
      }
    } catch {
      return end.kind === "done" ? { kind: "broken", problem: "" } : end;
    } finally {
      clearTimeout(timer);
    }
    return end;
  }

  #send(url: string, readerRequest: ReaderRequest, signal: AbortSignal) {
    const timeouts = { bodyTimeout: 0, headersTimeout: 0 };
    const authorization = `Bearer ${this.#options.key}`;
    if (this.#lastEventId !== "") {
      const headers = { authorization, "last-event-id": this.#lastEventId };
      return request(`${url}/v1/streams`, { headers, signal, ...timeouts });
    }
    const content = `${readerRequest.name} [out:${readerRequest.tokens}]`;
    const body = JSON.stringify({
      model: "base",
      class: readerRequest.class,
      stream: readerRequest.stream,
      messages: [{ role: "user", content }],
    });
    return request(`${url}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization, "content-type": "application/json" },
      body,
      // A document arrives only once it is complete, so it has no time-out.
      ...(readerRequest.stream ? { signal } : {}),
      ...timeouts,
    });
  }

  #readDocument(status: number, json: unknown): ConnectionEnd {
    if (status !== 200) {
      return problemEnd(json);
    }
    const { choices } = json as {
      choices: [{ message: { content: string } }];
    };
    this.#tokens = choices[0].message.content.trim().split(" ").length;
    return { kind: "done", problem: "" };
  }

  #recordToken(readerRequest: ReaderRequest, id: string, data: string): void {
    const [encodedFields = "", , index = ""] = id.split(".");
    const fields = Buffer.from(encodedFields, "base64url").toString();
    const generation = String((JSON.parse(fields) as unknown[])[1]);
    const chunk = JSON.parse(data) as {
      choices: [{ delta: { content: string } }];
    };
    this.#lastEventId = id;
    this.#tokens += 1;
    this.#options.record({
      kind: "token_read",
      at: performance.now(),
      request: readerRequest.name,
      generation,
      index: Number(index),
      text: chunk.choices[0].delta.content,
      expected: tokenText(generation, Number(index)),
    });
  }
}

function problemEnd(json: unknown): ConnectionEnd {
  const { kind } = json as { kind: string };
  return { kind: "problem", problem: kind };
}
