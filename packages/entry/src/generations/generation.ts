import type { StreamToken } from "@lavenderferry/credentials";
import type { Demand } from "@lavenderferry/policy";
import type { Token } from "./generation_event.ts";

/** Where a generation stands. */
export const generationPhases = {
  /** In the backlog; nothing was sent. */
  waiting: "waiting",
  /** Sent; the engine has not answered with a token. */
  sent: "sent",
  /** Tokens arrive. */
  streaming: "streaming",
  /** The connection was lost; a resume follows. */
  resuming: "resuming",
} as const;

/** One of the phases of a generation. */
export type GenerationPhase =
  (typeof generationPhases)[keyof typeof generationPhases];

/** One generation that this entry relays. */
export interface Generation {
  /** Names the generation; replaced when another generation starts. */
  stream: StreamToken;
  /** `null` while the reader is away and may come back. */
  readerId: string | null;
  readonly demand: Demand;
  readonly prompt: string;
  readonly traceParent: string | undefined;
  /** Nothing is delivered before the end. */
  readonly whole: boolean;
  /** The reader takes one JSON document in place of events. */
  readonly document: boolean;
  /** Continues a stream that another entry began. */
  readonly takenOver: boolean;
  /** Peer address of the entry that carried it before; `null`: none. */
  formerCarrier: string | null;
  phase: GenerationPhase;
  attemptId: string;
  /** Index of the next token that is wanted. */
  nextIndex: number;
  /** Index of the next token that the reader gets. */
  deliveredIndex: number;
  buffer: Token[];
  /** Starts and resumes since the last progress. */
  tries: number;
  /** Replacements by a new generation. */
  restarts: number;
  /** Address of the engine when it was last listed. */
  address: string | null;
  /** The engine accepted the current attempt. */
  attached: boolean;
  /** Monotonic milliseconds until which progress is due; `null`: none is. */
  progressDeadline: number | null;
  /** Monotonic milliseconds until which an unlisted engine is looked for. */
  addressDeadline: number | null;
  /** Tokens below this index are charged already. */
  chargedIndex: number;
  /** Monotonic milliseconds of the last token; `null` before the first. */
  lastTokenAt: number | null;
  /** Milliseconds without progress beyond the class's target. */
  stalledMs: number;
}

/** Milliseconds without a token after which a new connection is tried. */
export const maxSilenceMs = 2_000;

/** A generation that was cancelled at its engine. */
export interface Cancelled {
  readonly workClass: string;
  readonly workspace: string;
  readonly deliveredTokens: number;
}
