import { z } from "zod";
import type { EngineUsage } from "./generation_event.ts";

/** Schema of the usage in an engine's answer, with the engine's field names. */
export const engineUsageSchema = z.object({
  prompt_tokens: z.number(),
  cached_tokens: z.number(),
  completion_tokens: z.number(),
  recomputed_tokens: z.number(),
  preemptions: z.number(),
}).transform((usage): EngineUsage => ({
  promptTokens: usage.prompt_tokens,
  cachedTokens: usage.cached_tokens,
  outputTokens: usage.completion_tokens,
  recomputedTokens: usage.recomputed_tokens,
  preemptions: usage.preemptions,
}));
