import type { ServerResponse } from "node:http";
import { signStreamToken } from "@lavenderferry/credentials";
import type { StreamToken } from "@lavenderferry/credentials";
import type { EffectHandlers } from "@lavenderferry/runtime";
import type { EntryEvent } from "../events.ts";
import { sendProblem } from "../http/send_problem.ts";
import { toProblem } from "@lavenderferry/errors";
import type { ReaderEffect } from "./generation_effect.ts";
import type { Token } from "./generation_event.ts";

/**
 * Bytes that may be buffered for one reader; a reader that falls further behind
 * is disconnected.
 */
const maxBufferedBytes = 4_194_304;

interface Reader {
  readonly response: ServerResponse;
  /** Unix time of the request in seconds. */
  readonly created: number;
  /** Signed stream token, the first part of event ids. */
  signedToken: string;
  /** Generation for which `signedToken` and `chunkPrefix` were built. */
  generationId: string;
  /** JSON of a chunk up to its choices. */
  chunkPrefix: string;
}

type ReaderHandlers = EffectHandlers<EntryEvent, ReaderEffect>;

/** Runs the writes to the connections of callers. */
export class ReaderRunner {
  readonly #readers = new Map<string, Reader>();
  readonly #secret: string;

  constructor(streamSecret: string) {
    this.#secret = streamSecret;
  }

  /** Registers the connection of a reader before its request is handled. */
  add(readerId: string, response: ServerResponse): void {
    this.#readers.set(readerId, {
      response,
      created: Math.floor(Date.now() / 1_000),
      signedToken: "",
      generationId: "",
      chunkPrefix: "",
    });
  }

  /** Removes a closed connection; returns whether it was still registered. */
  remove(readerId: string): boolean {
    return this.#readers.delete(readerId);
  }

  readonly handlers: ReaderHandlers = {
    send_tokens: ({ readerId, stream, tokens }, dispatch) => {
      const reader = this.#readers.get(readerId);
      if (reader === undefined) {
        return;
      }
      reader.response.write(this.#formatEvents(reader, stream, tokens));
      if (reader.response.writableLength > maxBufferedBytes) {
        this.#readers.delete(readerId);
        reader.response.destroy();
        dispatch({ kind: "reader_too_slow", readerId });
      }
    },
    finish_stream: (effect) => {
      const reader = this.#removeReader(effect.readerId);
      if (reader !== undefined) {
        const { stream, finishReason, usage } = effect;
        const text = this.#formatEvents(reader, stream, []);
        reader.response.end(
          text + formatEndEvents(stream, reader, { finishReason, usage }),
        );
      }
    },
    send_completion: (effect) => {
      const reader = this.#removeReader(effect.readerId);
      if (reader !== undefined) {
        this.#sendCompletion(reader, effect);
      }
    },
    move_reader: ({ readerId, addresses }) => {
      const data = JSON.stringify({ addresses });
      this.#removeReader(readerId)?.response.end(
        `event: moved\ndata: ${data}\n\n`,
      );
    },
    drop_reader: ({ readerId }) => {
      this.#removeReader(readerId)?.response.destroy();
    },
    fail_reader: ({ readerId, occurrence }) => {
      const reader = this.#removeReader(readerId);
      if (reader === undefined) {
        return;
      }
      const problem = toProblem(occurrence);
      if (!reader.response.headersSent) {
        sendProblem(reader.response, problem);
        return;
      }
      const data = JSON.stringify(problem);
      reader.response.end(`event: error\ndata: ${data}\n\n`);
    },
    send_answer: ({ readerId, requestId, answer, replayed }) => {
      const reader = this.#removeReader(readerId);
      if (reader === undefined) {
        return;
      }
      reader.response.writeHead(answer.status, {
        "content-type": answer.contentType,
        "content-length": Buffer.byteLength(answer.body),
        "x-request-id": requestId,
        ...(replayed ? { "idempotent-replayed": "true" } : {}),
      });
      reader.response.end(answer.body);
    },
  };

  #removeReader(readerId: string): Reader | undefined {
    const reader = this.#readers.get(readerId);
    this.#readers.delete(readerId);
    return reader;
  }

  #formatEvents(
    reader: Reader,
    stream: StreamToken,
    tokens: readonly Token[],
  ): string {
    if (!reader.response.headersSent) {
      reader.response.writeHead(200, {
        "content-type": "text/event-stream",
        "cache-control": "no-store",
        "x-request-id": stream.requestId,
      });
    }
    if (reader.generationId !== stream.generationId) {
      reader.generationId = stream.generationId;
      reader.signedToken = signStreamToken(stream, this.#secret);
      const { requestId: id, model } = stream;
      const object = "chat.completion.chunk";
      const head = JSON.stringify({
        id,
        object,
        created: reader.created,
        model,
      });
      reader.chunkPrefix = head.slice(0, -1);
    }
    let text = "";
    for (const token of tokens) {
      const content = JSON.stringify(token.text);
      text += `id: ${reader.signedToken}.${token.index}\n` +
        `data: ${reader.chunkPrefix},"choices":[{"index":0,"delta":` +
        `{"content":${content}},"finish_reason":null}]}\n\n`;
    }
    return text;
  }

  #sendCompletion(
    reader: Reader,
    effect: Extract<ReaderEffect, { kind: "send_completion" }>,
  ): void {
    const { stream, tokens, finishReason, usage, asJson } = effect;
    const { response } = reader;
    if (!asJson) {
      const text = this.#formatEvents(reader, stream, tokens);
      response.end(
        text + formatEndEvents(stream, reader, { finishReason, usage }),
      );
      return;
    }
    const content = tokens.map((token) => token.text).join("");
    const message = { role: "assistant", content };
    const body = JSON.stringify({
      id: stream.requestId,
      object: "chat.completion",
      created: reader.created,
      model: stream.model,
      choices: [{ index: 0, message, finish_reason: finishReason }],
      usage: toUsageBody(usage),
    });
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
      "x-request-id": stream.requestId,
    });
    response.end(body);
  }
}

interface StreamEnd {
  readonly finishReason: string;
  readonly usage: {
    readonly promptTokens: number;
    readonly outputTokens: number;
  };
}

function formatEndEvents(
  stream: StreamToken,
  reader: Reader,
  end: StreamEnd,
): string {
  const chunk = {
    id: stream.requestId,
    object: "chat.completion.chunk",
    created: reader.created,
    model: stream.model,
    choices: [{ index: 0, delta: {}, finish_reason: end.finishReason }],
    usage: toUsageBody(end.usage),
  };
  return `data: ${JSON.stringify(chunk)}\n\ndata: [DONE]\n\n`;
}

function toUsageBody(
  { promptTokens, outputTokens }: StreamEnd["usage"],
): object {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: outputTokens,
    total_tokens: promptTokens + outputTokens,
  };
}
