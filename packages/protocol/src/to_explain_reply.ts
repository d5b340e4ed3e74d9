import type { Decision } from "@lavenderferry/runtime";
import type { ExplainReply } from "./generated/lavenderferry/v1/ExplainReply.ts";

/** Returns the message that carries a process's decisions. */
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
