import type { Decision } from "@lavenderferry/runtime";
import type { ExplainReply } from "./generated/lavenderferry/v1/ExplainReply.ts";

/** Converts a process's decisions to the reply of an `Explain` call. */
export function toExplainReply(
  process: string,
  decisions: readonly Decision[],
): ExplainReply {
  return {
    decisions: decisions.map((decision) => ({
      ...decision,
      figures: JSON.stringify(decision.figures),
      process,
    })),
  };
}
