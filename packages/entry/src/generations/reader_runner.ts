import type { ServerResponse } from "node:http";
import { signStreamToken } from "@lavenderferry/credentials";
import type { StreamToken } from "@lavenderferry/credentials";
import type { EffectHandlers } from "@lavenderferry/runtime";
import type { EntryEvent } from "../events.ts";
import { sendProblem } from "../http/send_problem.ts";
import { toProblem } from "@lavenderferry/errors";
import type { ReaderEffect } from "./generation_effect.ts";
import type { Token } from "./generation_event.ts";

/** Bytes that may wait for one reader. */
const maxBufferedBytes = 4_194_304;

interface Reader {
  readonly response: ServerResponse;
  readonly created: number;
  /** Signed token of the generation that is streamed. */
  signed: string;
  generationId: string;
  /** Text of a chunk before its content. */
  chunkHead: string;
}

type ReaderHandlers = EffectHandlers<EntryEvent, ReaderEffect>;

/** Writes to the callers' connections. */
export class ReaderRunner {
  readonly #readers = new Map<string, Reader>();
  readonly #secret: string;

  constructor(streamSecret: string) {
    this.#secret = streamSecret;
  }

  /** Registers the connection of a reader. */
  add(readerId: string, response: ServerResponse): void {
    this.#readers.set(readerId, {
      response,
      created: Math.floor(Date.now() / 1_000),
      signed: "",
      generationId: "",
      chunkHead: "",
    });
  }

  /** Forgets a connection that has closed. */
  remove(readerId: string): boolean {
    return this.#readers.delete(readerId);
  }

  readonly handlers: ReaderHandlers = {
    send_tokens: ({ readerId, stream, tokens }, dispatch) => {
      const reader = this.#readers.get(readerId);
      if (reader === undefined) {
        return;
      }
      reader.response.write(this.#events(reader, stream, tokens));
      if (reader.response.writableLength > maxBufferedBytes) {
        this.#readers.delete(readerId);
        reader.response.destroy();
        dispatch({ kind: "reader_too_slow", readerId });
      }
    },
    finish_stream: (effect) => {
      const reader = this.#take(effect.readerId);
      if (reader !== undefined) {
        const { stream, finishReason, usage } = effect;
        const text = this.#events(reader, stream, []);
        reader.response.end(
          text + endEvents(stream, reader, { finishReason, usage }),
        );
      }
    },
    send_whole: (effect) => {
      const reader = this.#take(effect.readerId);
      if (reader !== undefined) {
        this.#sendWhole(reader, effect);
      }
    },
    move_reader: ({ readerId, addresses }) => {
      const data = JSON.stringify({ addresses });
      this.#take(readerId)?.response.end(`event: moved\ndata: ${data}\n\n`);
    },
    drop_reader: ({ readerId }) => {
      this.#take(readerId)?.response.destroy();
    },
    fail_reader: ({ readerId, occurrence }) => {
      const reader = this.#take(readerId);
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
      const reader = this.#take(readerId);
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

  #take(readerId: string): Reader | undefined {
    const reader = this.#readers.get(readerId);
    this.#readers.delete(readerId);
    return reader;
  }

  #events(
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
      reader.signed = signStreamToken(stream, this.#secret);
      const { requestId: id, model } = stream;
      const object = "chat.completion.chunk";
      const head = JSON.stringify({
        id,
        object,
        created: reader.created,
        model,
      });
      reader.chunkHead = head.slice(0, -1);
    }
    let text = "";
    for (const token of tokens) {
      const content = JSON.stringify(token.text);
      text += `id: ${reader.signed}.${token.index}\n` +
        `data: ${reader.chunkHead},"choices":[{"index":0,"delta":` +
        `{"content":${content}},"finish_reason":null}]}\n\n`;
    }
    return text;
  }

  #sendWhole(
    reader: Reader,
    effect: Extract<ReaderEffect, { kind: "send_whole" }>,
  ): void {
    const { stream, tokens, finishReason, usage, document } = effect;
    const { response } = reader;
    if (!document) {
      const text = this.#events(reader, stream, tokens);
      response.end(text + endEvents(stream, reader, { finishReason, usage }));
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
      usage: usageBody(usage),
    });
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
      "x-request-id": stream.requestId,
    });
    response.end(body);
  }
}

interface End {
  readonly finishReason: string;
  readonly usage: {
    readonly promptTokens: number;
    readonly outputTokens: number;
  };
}

function endEvents(stream: StreamToken, reader: Reader, end: End): string {
  const chunk = {
    id: stream.requestId,
    object: "chat.completion.chunk",
    created: reader.created,
    model: stream.model,
    choices: [{ index: 0, delta: {}, finish_reason: end.finishReason }],
    usage: usageBody(end.usage),
  };
  return `data: ${JSON.stringify(chunk)}\n\ndata: [DONE]\n\n`;
}

function usageBody({ promptTokens, outputTokens }: End["usage"]): object {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: outputTokens,
    total_tokens: promptTokens + outputTokens,
  };
}
