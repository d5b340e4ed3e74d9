import type { Demand } from "@lavenderferry/policy";
import type { Resumption } from "../relay_effect.ts";
import type { Route } from "../routing/routing.ts";

/** What a request states of the generation that it asks for. */
export interface GenerationDemand {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Names of the parts of the prompt, in order. */
  readonly prefix: readonly string[];
}

/** Where a relayed request stands. */
export const requestPhases = {
  /** Not sent to any upstream, or refused by all that it was sent to. */
  waiting: "waiting",
  /** Sent; nothing of the answer was passed on. */
  sent: "sent",
  /** The caller has the start of the answer. */
  streaming: "streaming",
} as const;

/** One of the phases of a relayed request. */
export type RequestPhase = keyof typeof requestPhases;

/** How far a generation is on its way to another engine. */
export const movePhases = {
  /** Its memory is copied while it runs on. */
  copying: "copying",
  /** It was told to stop; what is new of its memory is copied. */
  stopping: "stopping",
} as const;

/** A generation that is moved off an engine that leaves. */
export interface Move {
  readonly to: string;
  readonly phase: keyof typeof movePhases;
  /** Monotonic milliseconds at which the current copy was asked for. */
  readonly askedAt: number;
  /** Copies asked for so far. */
  readonly copies: number;
  /** Engines that had no room. */
  readonly avoid: readonly string[];
  /** Whether the stream has ended, as that of a stopped generation does. */
  readonly streamEnded: boolean;
}

/** One request on its way between a caller and an upstream. */
export interface RelayedRequest {
  /** Names the caller's exchange within this process. */
  readonly exchangeId: string;
  readonly requestId: string;
  readonly route: Route;
  readonly service: string;
  readonly workspace: string | null;
  /** What the dispatcher is asked; refused upstreams join its `avoid`. */
  demand: Demand;
  /** Monotonic milliseconds at which the final answer is due. */
  readonly deadline: number;
  phase: RequestPhase;
  attemptId: string;
  upstream: string;
  /** Attempts that may have run. */
  runs: number;
  /** All attempts, also those that were refused unrun. */
  sends: number;
  /** Events passed on. */
  events: number;
  lastEventId: string | null;
  /** Upstream that keeps a copy of the generation's memory. */
  copyAt: string | null;
  /** How it leaves its engine; `null`: it stays. */
  move: Move | null;
  /** Where the current attempt goes on from; `null`: it is a first run. */
  resumption: Resumption | null;
  /** Times that the current resumption was refused. */
  refusedResumptions: number;
  /** Monotonic milliseconds of the current attempt's first event. */
  firstEventAt: number | null;
  /** Monotonic milliseconds at which the upstream was known to leave. */
  noticedAt: number;
  /** Monotonic milliseconds at which its move may begin; `null`: unknown. */
  turnAt: number | null;
  /** Milliseconds from the request to its first event. */
  firstMs: number;
  /** Longest time between two parts of the stream, in milliseconds. */
  longestPauseMs: number;
  /** Monotonic milliseconds of the last progress of the answer. */
  progressedAt: number;
}
