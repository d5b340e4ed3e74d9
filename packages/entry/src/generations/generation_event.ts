import type { StreamPosition } from "@lavenderferry/credentials";

/** One token of a generation. */
export interface Token {
  /** Position in the generation, from 0. */
  readonly index: number;
  readonly text: string;
}

/** What an engine states at the end of a generation. */
export interface EngineUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
  readonly recomputedTokens: number;
  readonly preemptions: number;
}

/** A generation that a caller asked for. */
export interface GenerationRequested {
  readonly kind: "generation_requested";
  readonly readerId: string;
  readonly requestId: string;
  readonly workspace: string;
  readonly workClass: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  /** W3C trace context of the caller. */
  readonly traceParent: string | undefined;
}

/** How an attempt at an engine failed. */
export type EngineFailure =
  /** The engine stated that it did not start, or no byte was sent. */
  | { readonly kind: "not_started"; readonly reason: string }
  /** The engine does not hold the generation. */
  | { readonly kind: "gone" }
  /** The connection or the answer broke; the generation may still run. */
  | { readonly kind: "lost"; readonly reason: string };

/** Events of generations. */
export type GenerationEvent =
  | GenerationRequested
  | {
    readonly kind: "stream_resumed";
    readonly readerId: string;
    readonly position: StreamPosition;
  }
  | {
    /** The former carrier answered, or did not. */
    readonly kind: "take_over_answered";
    readonly generationId: string;
    /** Tokens whose usage the former carrier recorded; `null`: it is not known. */
    readonly charged: number | null;
  }
  | {
    /** Another entry carries the generation from now on. */
    readonly kind: "generation_taken_over";
    readonly generationId: string;
    readonly by: string;
  }
  | {
    readonly kind: "cancel_requested";
    readonly readerId: string;
    readonly requestId: string;
    readonly workspace: string;
  }
  | {
    /** The engine accepted the attempt; tokens may follow late. */
    readonly kind: "engine_attached";
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
    /** `null` when the engine did not answer or does not hold it. */
    readonly usage: EngineUsage | null;
  };
