import type { Targets } from "@lavenderferry/configuration";
import type { Agent } from "undici";
import type { Arrival } from "./arrival_trace.ts";

/** What became of one request. */
export interface Outcome {
  readonly arrival: Arrival;
  /** End of the request, in milliseconds since the start of the load. */
  readonly endedAtMs: number;
  /** `null` when no token arrived. */
  readonly firstTokenMs: number | null;
  readonly completionMs: number;
  /** Times between tokens. */
  readonly gapsMs: readonly number[];
  /** Sum of the times between tokens beyond the target. */
  readonly stallMs: number;
  readonly whole: boolean;
  /** Kind of the problem; `null` when it was answered. */
  readonly problem: string | null;
}

const maxTokens = 4_096;

/** Sends one request and measures the tokens of its answer. */
export async function measureRequest(
  agent: Agent,
  target: { readonly url: string; readonly key: string },
  request: {
    readonly arrival: Arrival;
    readonly targets: Targets;
    readonly startedAt: number;
  },
): Promise<Outcome> {
  const { arrival, targets, startedAt } = request;
  const sentAt = performance.now();
  const reading = new Reading(sentAt);
  try {
    const response = await agent.request({
      origin: target.url,
      path: "/v1/chat/completions",
      method: "POST",
      headers: {
        authorization: `Bearer ${target.key}`,
        "content-type": "application/json",
      },
      body: JSON.stringify({
        model: "base",
        stream: true,
        class: arrival.workClass,
        max_tokens: maxTokens,
        messages: [{ role: "user", content: arrival.prompt }],
      }),
    });
    if (response.statusCode === 200) {
      const decoder = new TextDecoder();
      for await (const chunk of response.body) {
        reading.feed(decoder.decode(chunk as Buffer, { stream: true }));
      }
    } else {
      const body = await response.body.json() as { kind?: string };
      reading.problem = body.kind ?? `status_${response.statusCode}`;
    }
  } catch {
    reading.problem = "connection";
  }
  const now = performance.now();
  const { gapsMs, firstTokenMs, whole, problem } = reading;
  return {
    arrival,
    endedAtMs: now - startedAt,
    firstTokenMs,
    completionMs: now - sentAt,
    gapsMs,
    stallMs: gapsMs.reduce(
      (sum, each) => sum + Math.max(0, each - targets.betweenTokensMs),
      0,
    ),
    whole,
    problem: whole ? null : problem ?? "short_answer",
  };
}

/** Whether a request met every target of its class. */
export function metTargets(outcome: Outcome, targets: Targets): boolean {
  const { whole, firstTokenMs, completionMs, stallMs, gapsMs } = outcome;
  const meanGap = gapsMs.reduce((sum, each) => sum + each, 0) /
    Math.max(1, gapsMs.length);
  return whole && firstTokenMs !== null &&
    firstTokenMs <= targets.firstTokenMs &&
    completionMs <= targets.completionMs &&
    stallMs <= targets.stallMs && meanGap <= targets.betweenTokensMs;
}

/** Follows the events of one stream. */
class Reading {
  readonly gapsMs: number[] = [];
  firstTokenMs: number | null = null;
  whole = false;
  problem: string | null = null;
  readonly #sentAt: number;
  #lastAt = 0;
  #rest = "";

  constructor(sentAt: number) {
    this.#sentAt = sentAt;
  }

  feed(text: string): void {
    const lines = (this.#rest + text).split("\n");
    this.#rest = lines.pop() ?? "";
    const now = performance.now();
    for (const line of lines) {
      this.#take(line, now);
    }
  }

  #take(line: string, now: number): void {
    if (line.startsWith("id: ")) {
      if (this.firstTokenMs === null) {
        this.firstTokenMs = now - this.#sentAt;
      } else {
        this.gapsMs.push(now - this.#lastAt);
      }
      this.#lastAt = now;
    } else if (line === "data: [DONE]") {
      this.whole = true;
    } else if (line === "event: error") {
      this.problem = "error_event";
    }
  }
}
