import type { StreamToken } from "@lavenderferry/credentials";
import type { Occurrence } from "@lavenderferry/errors";
import type { ServiceAnswer } from "../calls/call_event.ts";
import type { EngineUsage, Token } from "./generation_event.ts";

/** Body of the request that starts a generation at an engine. */
export interface EngineRequest {
  readonly generationId: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  readonly traceParent: string | undefined;
}

/** Calls to engines. */
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
    /** Index of the first token to send. */
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

/** Notifies another entry that this one continues its stream. */
export type TakeOverEffect = {
  readonly kind: "take_over";
  /** Peer address of the other entry. */
  readonly address: string;
  readonly generationId: string;
};

/** Writes to the connections of callers. */
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
    /** Sends all output and the end of the answer. */
    readonly kind: "send_completion";
    readonly readerId: string;
    /** Send one JSON document instead of server-sent events. */
    readonly asJson: boolean;
    readonly stream: StreamToken;
    readonly tokens: readonly Token[];
    readonly finishReason: string;
    readonly usage: EngineUsage;
  }
  | {
    /** Ends an unfinished stream and lists entries where it can be resumed. */
    readonly kind: "move_reader";
    readonly readerId: string;
    readonly addresses: readonly string[];
  }
  | {
    /** Closes a connection whose stream continues on another one. */
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
    /** The answer was recorded by an earlier call with the same key. */
    readonly replayed: boolean;
  };
