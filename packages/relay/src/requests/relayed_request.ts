import type { Demand } from "@lavenderferry/policy";
import type { Resumption } from "../relay_effect.ts";
import type { AnswerHead } from "../relay_event.ts";
import type { Route } from "../routing/routing.ts";
import type { StopState } from "./stop_state.ts";

/** Parameters of the generation that a request asks for. */
export interface GenerationDemand {
  readonly model: string;
  /** Estimated tokens of the prompt. */
  readonly promptTokens: number;
  /** Limit on the tokens of the answer. */
  readonly maxTokens: number;
  /** Digests of the prompt's blocks, each of all blocks up to it. */
  readonly prefix: readonly string[];
  /**
   * Ids of the blocks of the prompt that other requests may share, in order.
   * The last block belongs to the request or to its session.
   */
  readonly sharedBlocks: readonly string[];
}

/** Phases of a relayed request, in order. */
export const requestPhases = {
  /** Has no current attempt: not sent yet, or to be sent again. */
  waiting: "waiting",
  /** Sent to an upstream; nothing was forwarded to the caller yet. */
  sent: "sent",
  /** The start of the answer was forwarded to the caller. */
  streaming: "streaming",
} as const;

/** Phase of a relayed request; a key of `requestPhases`. */
export type RequestPhase = keyof typeof requestPhases;

/** Phases of a move, in order. */
export const movePhases = {
  /** The memory is copied while the generation keeps running. */
  copying: "copying",
  /** The engine was asked to stop the generation and copy the remainder. */
  stopping: "stopping",
} as const;

/** A move in progress of a generation off an engine that is leaving. */
export interface Move {
  /** Id of the engine that the generation moves to. */
  readonly to: string;
  readonly phase: keyof typeof movePhases;
  /** Monotonic milliseconds at which the current copy was requested. */
  readonly copyRequestedAt: number;
  /** Number of copies requested so far. */
  readonly copyCount: number;
  /** Ids of engines that had no room. */
  readonly excludedEngines: readonly string[];
  /**
   * Whether the generation only has to be stopped, as the engine that it moves
   * to keeps a copy already.
   */
  readonly hasCopy: boolean;
}

/** End of a stream whose run may have been stopped. */
export interface StreamEnd {
  /** Head of a stream without framing; `null`: it was broken off. */
  readonly head: AnswerHead | null;
}

/** When and where a generation is moved off an engine that is leaving. */
export interface DepartureTurn {
  /** Monotonic milliseconds at which the engine leaves. */
  readonly leavesAt: number;
  /** Whether the engine has reported that time. */
  readonly isReported: boolean;
  /** Ids of the engines that it may go to, the preferred one first. */
  readonly targets: readonly string[];
  /** How often it has waited for those before it. */
  readonly turns: number;
}

/** State of a request between a caller and its upstreams. */
export interface RelayedRequest {
  /** Id of the caller's HTTP exchange; unique within this process. */
  readonly exchangeId: string;
  /** Id chosen by the caller; may not be unique. */
  readonly requestId: string;
  readonly route: Route;
  readonly service: string;
  readonly workspace: string | null;
  /** How urgent a generation is, 1 being the most urgent; `null`: not stated. */
  readonly urgency: number | null;
  /** Id that equal requests of the same caller share. */
  readonly fingerprint: string;
  /** Ids of the prompt's blocks that other requests may share. */
  readonly sharedBlocks: readonly string[];
  /** Whether a peer has forwarded it, so that it is not forwarded again. */
  readonly isForwarded: boolean;
  /** Ids of the peers that it was forwarded to, the last one last. */
  peers: readonly string[];
  /** Its `excludedEngines` are the upstreams that refused or failed. */
  demand: Demand;
  /** Monotonic milliseconds by which the request must have ended. */
  readonly deadline: number;
  phase: RequestPhase;
  /** Id of the latest attempt; empty before the first one. */
  attemptId: string;
  /** Id of the latest attempt's upstream; empty before the first one. */
  upstream: string;
  /** Failed attempts that may have run. */
  runs: number;
  /** All attempts, including those refused without a run. */
  sends: number;
  /** Number of events forwarded to the caller. */
  events: number;
  /** Id of the last event forwarded to the caller. */
  lastEventId: string | null;
  /** Id of the upstream that keeps a copy of the generation's memory. */
  copyUpstream: string | null;
  /** The current move to another engine, if there is one. */
  move: Move | null;
  /** What is known of the stop of the current attempt's run. */
  stop: StopState;
  /** Handle by which its engine keeps the stopped run; `null`: not known. */
  keptHandle: string | null;
  /** End of the current attempt's stream, until it is settled; `null`: none. */
  streamEnd: StreamEnd | null;
  /** Where the current attempt resumes from; `null`: it starts anew. */
  resumption: Resumption | null;
  /** Refusals of the current resumption in a row. */
  refusedResumptions: number;
  /** Whether no engine runs it until its resumption is tried again. */
  isStopped: boolean;
  /** Monotonic milliseconds at which the current attempt began. */
  sentAt: number;
  /** Monotonic milliseconds of the current attempt's first event. */
  firstEventAt: number | null;
  /** Monotonic milliseconds of the upstream's termination notice; 0: none. */
  terminationNoticeAt: number;
  /** Notice after which a move was last counted as begun; 0: none was. */
  countedNoticeAt: number;
  /** Monotonic milliseconds from which a move may start; `null`: unknown. */
  moveAllowedAt: number | null;
  /** Its turn in the schedule of its engine; `null`: there is none yet. */
  departure: DepartureTurn | null;
  /** Milliseconds from the arrival of the request to its first event. */
  firstEventMs: number;
  /** Longest time between two batches of events, in milliseconds. */
  longestPauseMs: number;
  /** Monotonic milliseconds of the last events, or of the arrival. */
  lastProgressAt: number;
}
