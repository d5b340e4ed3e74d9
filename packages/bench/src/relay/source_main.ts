import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { announce } from "@lavenderferry/runtime";
import { tokenText } from "@lavenderferry/standins";

/** Length and rate of a stream, from the markers in its prompt. */
interface Pace {
  readonly tokens: number;
  /** Number of tokens that are written to the socket at once. */
  readonly batchTokens: number;
  /** Milliseconds between two writes. */
  readonly intervalMs: number;
}

const memoryTokens = 100_000_000;

/** Serves engine streams at the requested rate without simulating an engine. */
const server = createServer((request, response) => {
  if (request.url === "/v1/load") {
    sendLoad(response);
  } else if (request.method === "POST") {
    void sendStream(request, response);
  } else {
    response.writeHead(404).end();
  }
});

server.listen(0, "127.0.0.1", () => {
  const address = server.address();
  const port = typeof address === "object" ? address?.port : 0;
  announce("listening", { address: `127.0.0.1:${port}` });
});

async function sendStream(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  const body = JSON.parse(Buffer.concat(chunks).toString()) as {
    request_id: string;
    prompt: string;
  };
  const pace = parsePace(body.prompt);
  response.writeHead(200, { "content-type": "text/event-stream" });
  for (let sentTokens = 0; sentTokens < pace.tokens;) {
    const batchEnd = Math.min(pace.tokens, sentTokens + pace.batchTokens);
    const writable = response.write(
      formatEvents(body.request_id, sentTokens, batchEnd),
    );
    sentTokens = batchEnd;
    if (pace.intervalMs > 0) {
      await delay(pace.intervalMs);
    } else if (!writable) {
      await new Promise((resolve) => response.once("drain", resolve));
    }
  }
  response.end(formatLastEvents(body.request_id, pace.tokens));
}

function parsePace(prompt: string): Pace {
  const readMarker = (name: string) =>
    Number(new RegExp(`\\[${name}:(\\d+)\\]`).exec(prompt)?.[1] ?? 1);
  return {
    tokens: readMarker("out"),
    batchTokens: readMarker("batch"),
    intervalMs: readMarker("interval"),
  };
}

function formatEvents(id: string, from: number, to: number): string {
  let text = "";
  for (let index = from; index < to; index++) {
    const choice = {
      index: 0,
      text: tokenText(id, index),
      finish_reason: null,
    };
    text += `id: ${index}\ndata: ${
      JSON.stringify({ id, choices: [choice] })
    }\n\n`;
  }
  return text;
}

function formatLastEvents(id: string, tokens: number): string {
  const choice = { index: 0, text: "", finish_reason: "stop" };
  const usage = {
    prompt_tokens: 1,
    cached_tokens: 0,
    completion_tokens: tokens,
    recomputed_tokens: 0,
    preemptions: 0,
  };
  const data = JSON.stringify({ id, choices: [choice], usage });
  return `data: ${data}\n\ndata: [DONE]\n\n`;
}

function sendLoad(response: ServerResponse): void {
  const body = JSON.stringify({
    at: Date.now(),
    running: 0,
    waiting: 0,
    memoryTokens,
    usedTokens: 0,
    preemptions: 0,
    finished: 0,
    draining: false,
    models: ["base"],
  });
  response.writeHead(200, { "content-type": "application/json" });
  response.end(body);
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
