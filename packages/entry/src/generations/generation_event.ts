import type { StreamPosition } from "@lavenderferry/credentials";

/** One token of a generation. */
export interface Token {
  /** Position in the generation, from 0. */
  readonly index: number;
  readonly text: string;
}

/** Usage that an engine reports at the end of a generation, in tokens. */
export interface EngineUsage {
  readonly promptTokens: number;
  /** Prompt tokens that were in the engine's prefix cache. */
  readonly cachedTokens: number;
  readonly outputTokens: number;
  /** Tokens that were computed again after a preemption. */
  readonly recomputedTokens: number;
  /** Number of times that the engine preempted the generation. */
  readonly preemptions: number;
}

/** A caller requested a generation. */
export interface GenerationRequested {
  readonly kind: "generation_requested";
  readonly readerId: string;
  readonly requestId: string;
  readonly workspace: string;
  readonly workClass: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Whether the caller takes server-sent events. */
  readonly stream: boolean;
  /** W3C `traceparent` header of the caller. */
  readonly traceParent: string | undefined;
}

/** Reason of a loss after the request was sent, other than its answer. */
export const lostConnection = "connection";

/** How an attempt at an engine failed. */
export type EngineFailure =
  /** The engine reported that it did not start, or no byte was sent. */
  | { readonly kind: "not_started"; readonly reason: string }
  /** The engine does not hold the generation. */
  | { readonly kind: "gone" }
  /** The connection or the answer failed; the generation may still run. */
  | { readonly kind: "lost"; readonly reason: string };

/** Events from readers, engines and other entries about generations. */
export type GenerationEvent =
  | GenerationRequested
  | {
    readonly kind: "stream_resumed";
    readonly readerId: string;
    readonly position: StreamPosition;
  }
  | {
    /** The call that notifies the previous entry of the take-over ended. */
    readonly kind: "take_over_answered";
    readonly generationId: string;
    /** Tokens below this index are charged by that entry; `null`: unknown. */
    readonly chargedIndex: number | null;
  }
  | {
    /** Another entry continues the stream of the generation. */
    readonly kind: "generation_taken_over";
    readonly generationId: string;
    /** Name of the other entry. */
    readonly by: string;
  }
  | {
    readonly kind: "cancel_requested";
    readonly readerId: string;
    readonly requestId: string;
    readonly workspace: string;
  }
  | {
    /** The engine accepted the attempt; tokens may follow much later. */
    readonly kind: "engine_accepted";
    readonly attemptId: string;
    readonly generationId: string;
  }
  | { readonly kind: "reader_left"; readonly readerId: string }
  | { readonly kind: "reader_too_slow"; readonly readerId: string }
  | {
    readonly kind: "tokens_received";
    readonly attemptId: string;
    readonly generationId: string;
    readonly tokens: readonly Token[];
  }
  | {
    readonly kind: "engine_finished";
    readonly attemptId: string;
    readonly generationId: string;
    readonly finishReason: string;
    readonly usage: EngineUsage;
  }
  | {
    readonly kind: "engine_failed";
    readonly attemptId: string;
    readonly generationId: string;
    readonly failure: EngineFailure;
  }
  | {
    readonly kind: "generation_cancelled";
    readonly generationId: string;
    /** `null` if the engine did not answer or does not hold the generation. */
    readonly usage: EngineUsage | null;
  };
