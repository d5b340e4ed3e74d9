import { createParser } from "eventsource-parser";
import { request } from "undici";

/** A generation request as callers send it. */
export interface Ask {
  readonly class: string;
  readonly prompt: string;
  readonly model?: string;
  readonly stream?: boolean;
  readonly maxTokens?: number;
}

/** What a caller saw of one stream. */
export interface StreamResult {
  readonly status: number;
  readonly requestId: string;
  readonly texts: readonly string[];
  readonly eventIds: readonly string[];
  /** The end marker arrived. */
  readonly whole: boolean;
  /** Problem details, when the stream or request failed. */
  readonly problem: Record<string, unknown> | null;
  /** How the connection broke before the end, if it did. */
  readonly broken: string | null;
}

/** A caller of one workspace. */
export class Caller {
  readonly #key: string;

  constructor(key: string) {
    this.#key = key;
  }

  /** Asks which addresses to use. */
  async addresses(url: string): Promise<readonly string[]> {
    const response = await request(`${url}/v1/addresses`);
    const body = await response.body.json() as { addresses: string[] };
    return body.addresses;
  }

  /** Starts a generation and reads its events to the end. */
  async generate(
    url: string,
    ask: Ask,
    signal?: AbortSignal,
  ): Promise<StreamResult> {
    const { prompt, model = "base", stream = true, maxTokens = 4_096 } = ask;
    const body = JSON.stringify({
      model,
      stream,
      class: ask.class,
      max_tokens: maxTokens,
      messages: [{ role: "user", content: prompt }],
    });
    return await this.#read(`${url}/v1/chat/completions`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body,
      signal,
    });
  }

  /** Continues a stream after the last event that was seen. */
  async resume(url: string, lastEventId: string): Promise<StreamResult> {
    return await this.#read(`${url}/v1/streams`, {
      method: "GET",
      headers: { "last-event-id": lastEventId },
      body: null,
      signal: undefined,
    });
  }

  /** Cancels a generation and returns the status. */
  async cancel(url: string, requestId: string): Promise<number> {
    const response = await request(`${url}/v1/generations/${requestId}`, {
      method: "DELETE",
      headers: { authorization: `Bearer ${this.#key}` },
    });
    await response.body.dump();
    return response.statusCode;
  }

  /** Calls a plain service. */
  async call(
    url: string,
    path: string,
    options: {
      readonly key?: string;
      readonly body?: object;
      readonly class: string;
    },
  ): Promise<
    { status: number; replayed: boolean; body: Record<string, unknown> }
  > {
    const { key, body } = options;
    const response = await request(`${url}/v1/services/${path}`, {
      method: body === undefined ? "GET" : "POST",
      headers: {
        authorization: `Bearer ${this.#key}`,
        "lavenderferry-class": options.class,
        "content-type": "application/json",
        ...(key === undefined ? {} : { "idempotency-key": key }),
      },
      body: body === undefined ? null : JSON.stringify(body),
    });
    return {
      status: response.statusCode,
      replayed: response.headers["idempotent-replayed"] === "true",
      body: await response.body.json() as Record<string, unknown>,
    };
  }

  async #read(
    url: string,
    options: {
      readonly method: "GET" | "POST";
      readonly headers: Record<string, string>;
      readonly body: string | null;
      readonly signal: AbortSignal | undefined;
    },
  ): Promise<StreamResult> {
    const texts: string[] = [];
    const eventIds: string[] = [];
    let status = 0;
    let requestId = "";
    let whole = false;
    let broken: string | null = null;
    let problem: Record<string, unknown> | null = null;
    const parser = createParser({
      onEvent: ({ id, event, data }) => {
        if (event === "error") {
          problem = JSON.parse(data) as Record<string, unknown>;
        } else if (data === "[DONE]") {
          whole = true;
        } else if (id !== undefined) {
          const chunk = JSON.parse(data) as {
            choices: [{ delta: { content: string } }];
          };
          texts.push(chunk.choices[0].delta.content);
          eventIds.push(id);
        }
      },
    });
    try {
      const { method, body, signal } = options;
      const response = await request(url, {
        method,
        body,
        ...(signal === undefined ? {} : { signal }),
        headers: { authorization: `Bearer ${this.#key}`, ...options.headers },
        bodyTimeout: 0,
        headersTimeout: 0,
      });
      status = response.statusCode;
      requestId = String(response.headers["x-request-id"] ?? "");
      const type = String(response.headers["content-type"]);
      if (type === "text/event-stream") {
        const decoder = new TextDecoder();
        for await (const chunk of response.body) {
          parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
        }
      } else {
        const json = await response.body.json() as Record<string, unknown>;
        if (status === 200) {
          const { choices } = json as {
            choices: [{ message: { content: string } }];
          };
          texts.push(choices[0].message.content);
          whole = true;
        } else {
          problem = json;
        }
      }
    } catch (error) {
      broken = String(error);
    }
    return { status, requestId, texts, eventIds, whole, problem, broken };
  }
}
