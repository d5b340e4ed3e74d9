import type { StreamToken } from "@lavenderferry/credentials";
import type { Occurrence } from "@lavenderferry/errors";
import type { ServiceAnswer } from "../calls/call_event.ts";
import type { EngineUsage, Token } from "./generation_event.ts";

/** What a generation is started with at its engine. */
export interface EngineRequest {
  readonly generationId: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  readonly traceParent: string | undefined;
}

/** Effects towards engines. */
export type EngineEffect =
  | {
    readonly kind: "start_generation";
    readonly attemptId: string;
    readonly address: string;
    readonly request: EngineRequest;
  }
  | {
    readonly kind: "resume_generation";
    readonly attemptId: string;
    readonly address: string;
    readonly generationId: string;
    /** Index of the first token wanted. */
    readonly from: number;
  }
  | {
    readonly kind: "cancel_generation";
    readonly address: string;
    readonly generationId: string;
  }
  | { readonly kind: "drop_attempt"; readonly attemptId: string }
  | {
    readonly kind: "read_load";
    readonly engine: string;
    readonly address: string;
  }
  | {
    readonly kind: "read_cache";
    readonly engine: string;
    readonly address: string;
  };

/** Effects towards entries that carried a stream before. */
export type TakeOverEffect = {
  readonly kind: "take_over";
  /** Peer address of the former carrier. */
  readonly address: string;
  readonly generationId: string;
};

/** Effects towards the callers. */
export type ReaderEffect =
  | {
    readonly kind: "send_tokens";
    readonly readerId: string;
    readonly stream: StreamToken;
    readonly tokens: readonly Token[];
  }
  | {
    readonly kind: "finish_stream";
    readonly readerId: string;
    readonly stream: StreamToken;
    readonly finishReason: string;
    readonly usage: EngineUsage;
  }
  | {
    readonly kind: "send_whole";
    readonly readerId: string;
    /** One JSON document in place of events. */
    readonly document: boolean;
    readonly stream: StreamToken;
    readonly tokens: readonly Token[];
    readonly finishReason: string;
    readonly usage: EngineUsage;
  }
  | {
    /** Ends the stream unfinished and names entries that continue it. */
    readonly kind: "move_reader";
    readonly readerId: string;
    readonly addresses: readonly string[];
  }
  | {
    /** Cuts a connection whose stream continues elsewhere. */
    readonly kind: "drop_reader";
    readonly readerId: string;
  }
  | {
    readonly kind: "fail_reader";
    readonly readerId: string;
    readonly occurrence: Occurrence;
  }
  | {
    readonly kind: "send_answer";
    readonly readerId: string;
    readonly requestId: string;
    readonly answer: ServiceAnswer;
    /** The answer was recorded by an earlier call with the key. */
    readonly replayed: boolean;
  };
