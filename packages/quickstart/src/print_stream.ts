import { createParser } from "eventsource-parser";
import { request } from "undici";
import { z } from "zod";

/** Address, caller key and body of a request for a generation. */
export interface StreamRequest {
  readonly address: string;
  readonly key: string;
  readonly body: object;
}

/** Summary of a stream that was printed. */
export interface PrintedStream {
  readonly requestId: string;
  readonly tokens: number;
  /** Whether the final `[DONE]` event was received. */
  readonly complete: boolean;
}

const chunkSchema = z.object({
  choices: z.array(z.object({
    delta: z.object({ content: z.string().default("") }).default({
      content: "",
    }),
  })),
});

/** Requests a generation and prints each token when it arrives. */
export async function printStream(
  { address, key, body }: StreamRequest,
): Promise<PrintedStream> {
  let tokens = 0;
  let complete = false;
  const parser = createParser({
    onEvent: ({ id, data }) => {
      if (data === "[DONE]") {
        complete = true;
      } else if (id !== undefined) {
        const { choices } = chunkSchema.parse(JSON.parse(data));
        process.stdout.write(choices[0]?.delta.content ?? "");
        tokens += 1;
      }
    },
  });
  const response = await request(`${address}/v1/chat/completions`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${key}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({ ...body, stream: true }),
  });
  const decoder = new TextDecoder();
  for await (const chunk of response.body) {
    parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
  }
  process.stdout.write("\n");
  const requestId = String(response.headers["x-request-id"] ?? "");
  return { requestId, tokens, complete };
}
