import { createParser } from "eventsource-parser";
import { request } from "undici";

/** Body of a generation request; `maxTokens` is sent as `max_tokens`. */
export interface GenerationRequest {
  readonly class: string;
  readonly prompt: string;
  readonly model?: string;
  readonly stream?: boolean;
  readonly maxTokens?: number;
}

/** Answer to a generation request as the caller received it. */
export interface GenerationResult {
  readonly status: number;
  readonly requestId: string;
  /** Text of each token, or the whole text of an answer without a stream. */
  readonly texts: readonly string[];
  /** Id of each token's event; the last one resumes the stream. */
  readonly eventIds: readonly string[];
  /** Whether the end marker or the whole document arrived. */
  readonly complete: boolean;
  /** Problem document, if the stream or the request failed. */
  readonly problem: Record<string, unknown> | null;
  /** Error of the connection, if it failed before the end. */
  readonly connectionError: string | null;
}

/** Client of the entries with the key of one workspace. */
export class Caller {
  readonly #callerKey: string;

  constructor(key: string) {
    this.#callerKey = key;
  }

  /** Returns the base addresses of entries that an entry advertises. */
  async fetchAddresses(url: string): Promise<readonly string[]> {
    const response = await request(`${url}/v1/addresses`);
    const body = await response.body.json() as { addresses: string[] };
    return body.addresses;
  }

  /** Starts a generation and reads its answer to the end. */
  async generate(
    url: string,
    generationRequest: GenerationRequest,
    signal?: AbortSignal,
  ): Promise<GenerationResult> {
    const { prompt, model = "base", stream = true, maxTokens = 4_096 } =
      generationRequest;
    const body = JSON.stringify({
      model,
      stream,
      class: generationRequest.class,
      max_tokens: maxTokens,
      messages: [{ role: "user", content: prompt }],
    });
    return await this.#readAnswer(`${url}/v1/chat/completions`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body,
      signal,
    });
  }

  /** Resumes a stream after the event with the given id. */
  async resume(url: string, lastEventId: string): Promise<GenerationResult> {
    return await this.#readAnswer(`${url}/v1/streams`, {
      method: "GET",
      headers: { "last-event-id": lastEventId },
      body: null,
      signal: undefined,
    });
  }

  /** Cancels a generation and returns the HTTP status. */
  async cancel(url: string, requestId: string): Promise<number> {
    const response = await request(`${url}/v1/generations/${requestId}`, {
      method: "DELETE",
      headers: { authorization: `Bearer ${this.#callerKey}` },
    });
    await response.body.dump();
    return response.statusCode;
  }

  /**
   * Calls a service other than an engine. A call with a body is a POST, and
   * `key` is its idempotency key.
   */
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
        authorization: `Bearer ${this.#callerKey}`,
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

  async #readAnswer(
    url: string,
    options: {
      readonly method: "GET" | "POST";
      readonly headers: Record<string, string>;
      readonly body: string | null;
      readonly signal: AbortSignal | undefined;
    },
  ): Promise<GenerationResult> {
    const texts: string[] = [];
    const eventIds: string[] = [];
    let status = 0;
    let requestId = "";
    let complete = false;
    let connectionError: string | null = null;
    let problem: Record<string, unknown> | null = null;
    const parser = createParser({
      onEvent: ({ id, event, data }) => {
        if (event === "error") {
          problem = JSON.parse(data) as Record<string, unknown>;
        } else if (data === "[DONE]") {
          complete = true;
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
        headers: {
          authorization: `Bearer ${this.#callerKey}`,
          ...options.headers,
        },
        bodyTimeout: 0,
        headersTimeout: 0,
      });
      status = response.statusCode;
      requestId = String(response.headers["x-request-id"] ?? "");
      const contentType = String(response.headers["content-type"]);
      if (contentType === "text/event-stream") {
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
          complete = true;
        } else {
          problem = json;
        }
      }
    } catch (error) {
      connectionError = String(error);
    }
    return {
      status,
      requestId,
      texts,
      eventIds,
      complete,
      problem,
      connectionError,
    };
  }
}
