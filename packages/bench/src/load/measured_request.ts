import type { Targets } from "@lavenderferry/configuration";
import type { Agent } from "undici";
import type { Arrival } from "./arrival_trace.ts";

/** Result of one request, with its latencies. */
export interface RequestOutcome {
  readonly arrival: Arrival;
  /** End of the request, in milliseconds since the start of the load. */
  readonly endedAtMs: number;
  /** Time from sending to the first token; `null` when none arrived. */
  readonly firstTokenMs: number | null;
  /** Time from sending to the end of the answer or to the failure. */
  readonly completionMs: number;
  /** Times between successive tokens. */
  readonly tokenGapsMs: readonly number[];
  /** Sum of the parts of the token gaps that exceed the target. */
  readonly stallMs: number;
  /** Whether the end marker of the stream arrived. */
  readonly complete: boolean;
  /** Kind of the problem document or failure; `null` when complete. */
  readonly problemKind: string | null;
}

const maxTokens = 4_096;

/** Sends one request and records when the tokens of its answer arrive. */
export async function measureRequest(
  agent: Agent,
  target: { readonly url: string; readonly key: string },
  request: {
    readonly arrival: Arrival;
    readonly targets: Targets;
    /** Start of the load, on the clock of `performance.now()`. */
    readonly startedAt: number;
  },
): Promise<RequestOutcome> {
  const { arrival, targets, startedAt } = request;
  const sentAt = performance.now();
  const recorder = new StreamRecorder(sentAt);
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
        recorder.feed(decoder.decode(chunk as Buffer, { stream: true }));
      }
    } else {
      const body = await response.body.json() as { kind?: string };
      recorder.problemKind = body.kind ?? `status_${response.statusCode}`;
    }
  } catch {
    recorder.problemKind = "connection";
  }
  const now = performance.now();
  const { tokenGapsMs, firstTokenMs, complete, problemKind } = recorder;
  return {
    arrival,
    endedAtMs: now - startedAt,
    firstTokenMs,
    completionMs: now - sentAt,
    tokenGapsMs,
    stallMs: tokenGapsMs.reduce(
      (sum, gapMs) => sum + Math.max(0, gapMs - targets.betweenTokensMs),
      0,
    ),
    complete,
    problemKind: complete ? null : problemKind ?? "short_answer",
  };
}

/**
 * Whether a request met every target of its class. The mean of its token gaps
 * is compared with the target between tokens.
 */
export function meetsTargets(
  outcome: RequestOutcome,
  targets: Targets,
): boolean {
  const {
    complete,
    firstTokenMs,
    completionMs,
    stallMs,
    tokenGapsMs,
  } = outcome;
  const meanGapMs = tokenGapsMs.reduce((sum, gapMs) => sum + gapMs, 0) /
    Math.max(1, tokenGapsMs.length);
  return complete && firstTokenMs !== null &&
    firstTokenMs <= targets.firstTokenMs &&
    completionMs <= targets.completionMs &&
    stallMs <= targets.stallMs && meanGapMs <= targets.betweenTokensMs;
}

/** Parses an event stream in chunks and records the arrival of its tokens. */
class StreamRecorder {
  readonly tokenGapsMs: number[] = [];
  firstTokenMs: number | null = null;
  complete = false;
  problemKind: string | null = null;
  readonly #sentAt: number;
  #lastTokenAt = 0;
  #partialLine = "";

  constructor(sentAt: number) {
    this.#sentAt = sentAt;
  }

  feed(text: string): void {
    const lines = (this.#partialLine + text).split("\n");
    this.#partialLine = lines.pop() ?? "";
    const now = performance.now();
    for (const line of lines) {
      this.#readLine(line, now);
    }
  }

  #readLine(line: string, now: number): void {
    if (line.startsWith("id: ")) {
      if (this.firstTokenMs === null) {
        this.firstTokenMs = now - this.#sentAt;
      } else {
        this.tokenGapsMs.push(now - this.#lastTokenAt);
      }
      this.#lastTokenAt = now;
    } else if (line === "data: [DONE]") {
      this.complete = true;
    } else if (line === "event: error") {
      this.problemKind = "error_event";
    }
  }
}
