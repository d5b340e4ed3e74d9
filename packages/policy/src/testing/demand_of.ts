import type { Demand, LoadReport } from "../dispatcher.ts";

/** Creates a demand with defaults for tests; `members` override them. */
export function demandOf(members: Partial<Demand> = {}): Demand {
  return {
    requestId: "r-1",
    workspace: "clinic",
    workClass: "tag",
    model: "base",
    promptTokens: 30,
    maxTokens: 4_096,
    prefix: [],
    targets: {
      firstTokenMs: 1_000,
      betweenTokensMs: 55,
      stallMs: 300,
      preemptionsPerThousand: 20,
      completionMs: 10_000,
      percent: 95,
    },
    arrivedAt: 0,
    ...members,
  };
}

/** Creates a load report with defaults for tests; `members` override them. */
export function reportOf(members: Partial<LoadReport> = {}): LoadReport {
  return {
    at: 0,
    running: 0,
    waiting: 0,
    memoryTokens: 1_000,
    usedTokens: 0,
    preemptions: 0,
    finished: 0,
    draining: false,
    models: ["base"],
    ...members,
  };
}
