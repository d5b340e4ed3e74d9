import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { announce } from "@lavenderferry/runtime";
import { tokenText } from "@lavenderferry/standins";

/** How a stream is emitted, as stated by markers in the prompt. */
interface Pace {
  readonly tokens: number;
  /** Tokens in one write. */
  readonly batch: number;
  /** Milliseconds between two writes. */
  readonly intervalMs: number;
}

const memoryTokens = 100_000_000;

/** Serves engine streams at a stated pace, without computing anything. */
const server = createServer((request, response) => {
  if (request.url === "/v1/load") {
    sendLoad(response);
  } else if (request.method === "POST") {
    void stream(request, response);
  } else {
    response.writeHead(404).end();
  }
});

server.listen(0, "127.0.0.1", () => {
  const address = server.address();
  const port = typeof address === "object" ? address?.port : 0;
  announce("listening", { address: `127.0.0.1:${port}` });
});

async function stream(
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
  for (let sent = 0; sent < pace.tokens;) {
    const end = Math.min(pace.tokens, sent + pace.batch);
    const flushed = response.write(events(body.request_id, sent, end));
    sent = end;
    if (pace.intervalMs > 0) {
      await pause(pace.intervalMs);
    } else if (!flushed) {
      await new Promise((resolve) => response.once("drain", resolve));
    }
  }
  response.end(lastEvents(body.request_id, pace.tokens));
}

function parsePace(prompt: string): Pace {
  const read = (name: string) =>
    Number(new RegExp(`\\[${name}:(\\d+)\\]`).exec(prompt)?.[1] ?? 1);
  return {
    tokens: read("out"),
    batch: read("batch"),
    intervalMs: read("interval"),
  };
}

function events(id: string, from: number, to: number): string {
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

function lastEvents(id: string, tokens: number): string {
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

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
