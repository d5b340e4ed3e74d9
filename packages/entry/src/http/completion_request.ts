import { KnownError } from "@lavenderferry/errors";
import { z } from "zod";

const messageSchema = z.object({
  role: z.string().max(64),
  content: z.string(),
});

/** Schema of a generation request, a subset of chat completions. */
export const completionRequestSchema = z.object({
  model: z.string().min(1).max(100),
  messages: z.array(messageSchema).min(1).max(1_000),
  stream: z.boolean().default(false),
  max_tokens: z.int().min(1).max(1_000_000).default(16_384),
  /** Work class, an extension of the chat completions format. */
  class: z.string().min(1).max(100),
});

/** A validated generation request. */
export type CompletionRequest = z.output<typeof completionRequestSchema>;

/** Parses a generation request; the error names the first invalid member. */
export function parseCompletionRequest(body: string): CompletionRequest {
  let json: unknown;
  try {
    json = JSON.parse(body);
  } catch (cause) {
    throw new KnownError("The body is not JSON", {
      kind: "bad_request",
      cause,
    });
  }
  const parsed = completionRequestSchema.safeParse(json);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const member = issue?.path.join(".") || "body";
    throw new KnownError(`${member}: ${issue?.message}`, {
      kind: "bad_request",
    });
  }
  return parsed.data;
}

/** Joins the messages into one prompt, each as a `role: content` line. */
export function buildPrompt({ messages }: CompletionRequest): string {
  return messages.map(({ role, content }) => `${role}: ${content}`).join("\n");
}
