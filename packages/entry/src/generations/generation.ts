import type { StreamToken } from "@lavenderferry/credentials";
import type { Demand } from "@lavenderferry/policy";
import type { Token } from "./generation_event.ts";

/** Phases of a generation at this entry. */
export const generationPhases = {
  /** In the backlog; nothing was sent to an engine. */
  waiting: "waiting",
  /** Sent to an engine; no token was received. */
  sent: "sent",
  /** Tokens are being received. */
  streaming: "streaming",
  /** The connection was lost; it is being replaced. */
  resuming: "resuming",
} as const;

/** A value of {@link generationPhases}. */
export type GenerationPhase =
  (typeof generationPhases)[keyof typeof generationPhases];

/** A generation that this entry relays from an engine to a reader. */
export interface Generation {
  /** Identifies the generation; has a new id after each restart. */
  stream: StreamToken;
  /** Connection of the reader; `null` while it is disconnected. */
  readerId: string | null;
  readonly demand: Demand;
  readonly prompt: string;
  /**
   * Ids under which the request may be quarantined: the blocks of its prompt that
   * others may share, and the request as a whole; empty if its prompt is unknown.
   */
  readonly suspectIds: readonly string[];
  readonly traceParent: string | undefined;
  /** The output is buffered and delivered in one piece at the end. */
  readonly deliverAtEnd: boolean;
  /** The answer is one JSON document instead of server-sent events. */
  readonly asJson: boolean;
  /** Created by a resume and not by a request. */
  readonly createdByResume: boolean;
  /**
   * Peer address of the entry that relayed the stream before, until it has
   * confirmed the take-over; `null`: none.
   */
  previousEntryAddress: string | null;
  phase: GenerationPhase;
  /** Id of the connection to the engine; empty before the first. */
  attemptId: string;
  /** Index of the next token expected from the engine. */
  nextIndex: number;
  /** Index of the next token to send to the reader. */
  deliveredIndex: number;
  /** Tokens received but not delivered; used only with delivery at the end. */
  buffer: Token[];
  /** Starts and resumes since the last token. */
  tries: number;
  /** Restarts because an engine lost the generation. */
  restarts: number;
  /** Monotonic milliseconds of the start at the engine; 0 before it. */
  sentAt: number;
  /** Monotonic milliseconds of the engine's first token; `null` before it. */
  firstTokenAt: number | null;
  /** The connection was lost before the engine's first token. */
  lostBeforeToken: boolean;
  /** Number of engines that were lost before their first token. */
  lossesBeforeToken: number;
  /** Last known address of the engine. */
  address: string | null;
  /** The engine accepted the current attempt. */
  attemptAccepted: boolean;
  /** Monotonic milliseconds by which progress is due; `null`: none is due. */
  progressDeadline: number | null;
  /**
   * Monotonic milliseconds by which the engine must be listed if its address
   * is unknown; `null`: at once.
   */
  addressDeadline: number | null;
  /** Tokens below this index are charged already, here or elsewhere. */
  chargedIndex: number;
  /** Monotonic milliseconds of the last token; `null` before the first. */
  lastTokenAt: number | null;
  /** Milliseconds by which waits for tokens exceeded the class's target. */
  stalledMs: number;
}

/** Milliseconds without progress after which the connection is replaced. */
export const progressTimeoutMs = 2_000;

/** A generation that was cancelled at its engine, until its cost is known. */
export interface CancelledGeneration {
  readonly workClass: string;
  readonly workspace: string;
  /** Output tokens that are charged already. */
  readonly chargedTokens: number;
}
