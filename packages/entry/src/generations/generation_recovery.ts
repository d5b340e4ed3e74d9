import type { Moment, Timed } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import type { Generation } from "./generation.ts";
import type { GenerationEvent } from "./generation_event.ts";
import { lostConnection } from "./generation_event.ts";
import { nextId } from "../state.ts";
import { recordDecision } from "../util/record_decision.ts";
import { count } from "../util/effects.ts";
import { mayStartAgain, recordLoss } from "../quarantine/record_loss.ts";
import { progressTimeoutMs } from "./generation.ts";
import {
  failGeneration,
  placeGeneration,
  releaseBacklog,
  removeGeneration,
  resetGeneration,
} from "./generation_start.ts";

type EngineFailed = Timed<Extract<GenerationEvent, { kind: "engine_failed" }>>;

const maxStarts = 4;
const maxRestarts = 8;
const maxResumes = 6;
/**
 * Limit of resumes while nothing was delivered. It is lower than `maxResumes`
 * because the generation can start again without the reader noticing.
 */
const maxUndeliveredResumes = 2;
const initialBackoffMs = 50;
const maxBackoffMs = 1_000;
const backoffJitter = 0.5;
const retryAfterMs = 1_000;
const addressPollIntervalMs = 200;

/** Resumes, restarts or fails a generation whose attempt failed. */
export function recoverGeneration(
  state: EntryState,
  event: EngineFailed,
): readonly EntryEffect[] {
  const generation = state.generations.get(event.generationId);
  if (generation?.attemptId !== event.attemptId) {
    return [];
  }
  switch (event.failure.kind) {
    case "not_started":
      return restartRefused(state, generation, event);
    case "gone":
      return restartGone(state, generation, event);
    case "lost":
      if (event.failure.reason === lostConnection) {
        recordLoss(state, generation, event.at);
      }
      return scheduleResume(state, generation, event);
  }
}

/** Resumes a generation at its engine, unless an attempt is in progress. */
export function resumeGeneration(
  state: EntryState,
  generation: Generation,
  at: Moment,
): readonly EntryEffect[] {
  const { phase, progressDeadline } = generation;
  if (phase !== "resuming" || progressDeadline !== null) {
    return [];
  }
  const { generationId, upstream } = generation.stream;
  const address = state.vms.get(upstream)?.address ?? generation.address;
  if (address === null) {
    return awaitAddress(state, generation, at);
  }
  generation.address = address;
  generation.attemptId = nextId(state);
  generation.attemptAccepted = false;
  generation.progressDeadline = at.monotonic + progressTimeoutMs;
  const { attemptId, nextIndex: from } = generation;
  return [
    { kind: "resume_generation", attemptId, address, generationId, from },
  ];
}

/** Replaces the connections whose progress deadline has passed. */
export function replaceSilentConnections(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  const effects: EntryEffect[] = [];
  for (const generation of [...state.generations.values()]) {
    const { progressDeadline } = generation;
    if (progressDeadline !== null && progressDeadline <= at.monotonic) {
      effects.push(...replaceConnection(state, generation, at));
    }
  }
  return effects;
}

/** Cancels a generation at its engine; its cost is charged with the answer. */
export function cancelAtEngine(
  state: EntryState,
  generation: Generation,
): readonly EntryEffect[] {
  const { generationId, upstream, workClass, workspace } = generation.stream;
  const address = state.vms.get(upstream)?.address ?? generation.address;
  if (address === null) {
    return [];
  }
  const chargedTokens = Math.max(
    generation.nextIndex,
    generation.chargedIndex,
  );
  state.cancelled.set(generationId, { workClass, workspace, chargedTokens });
  return [{ kind: "cancel_generation", address, generationId }];
}

/**
 * Retries until the engine of a resumed stream is listed or the deadline has
 * passed, because the list of VMs lags behind.
 */
function awaitAddress(
  state: EntryState,
  generation: Generation,
  at: Moment,
): readonly EntryEffect[] {
  const { generationId } = generation.stream;
  const { addressDeadline } = generation;
  if (addressDeadline === null || at.monotonic >= addressDeadline) {
    removeGeneration(state, generation);
    return failGeneration(generation, {
      error: "no_upstream",
      notRun: false,
      retryAfterMs,
    });
  }
  const timer = { kind: "retry_generation", generationId } as const;
  return [
    count("retries", "unknown_address"),
    { kind: "set_timer", timer, at: at.monotonic + addressPollIntervalMs },
  ];
}

/**
 * Replaces a connection without progress. This counts towards the limit of
 * resumes only if the engine did not accept the attempt: an engine that did
 * may send nothing because it preempted the generation.
 */
function replaceConnection(
  state: EntryState,
  generation: Generation,
  at: Moment,
): readonly EntryEffect[] {
  const { attemptId, stream, attemptAccepted } = generation;
  if (!attemptAccepted) {
    const failure = { kind: "lost", reason: "no_answer" } as const;
    const { generationId } = stream;
    return recoverGeneration(state, {
      kind: "engine_failed",
      attemptId,
      generationId,
      failure,
      at,
    });
  }
  generation.phase = "resuming";
  generation.progressDeadline = null;
  return [
    count("resumes", "silence"),
    { kind: "drop_attempt", attemptId },
    ...resumeGeneration(state, generation, at),
  ];
}

/** Places a generation again that its engine did not start. */
function restartRefused(
  state: EntryState,
  generation: Generation,
  event: EngineFailed,
): readonly EntryEffect[] {
  const { at } = event;
  const { generationId, requestId, upstream } = generation.stream;
  const reason = event.failure.kind === "not_started"
    ? event.failure.reason
    : "";
  state.dispatcher.ended(generationId, "refused", at);
  if (reason === "draining" || reason === "unreachable") {
    state.dispatcher.removeEngine(upstream);
  }
  if (generation.tries >= maxStarts) {
    removeGeneration(state, generation);
    return [
      ...failGeneration(generation, {
        error: "upstream_refused",
        notRun: generation.restarts === 0,
        retryAfterMs,
      }),
      ...releaseBacklog(state, at),
    ];
  }
  const figures = { upstream, tries: generation.tries };
  recordDecision(
    state,
    { kind: "retry", subject: requestId, reason, figures },
    at.wall,
  );
  resetGeneration(state, generation);
  return [
    count("retries", reason),
    ...placeGeneration(state, generation, at),
  ];
}

/** Restarts a generation that its engine lost, unless output was delivered. */
function restartGone(
  state: EntryState,
  generation: Generation,
  event: EngineFailed,
): readonly EntryEffect[] {
  const { at } = event;
  const { generationId, requestId, upstream } = generation.stream;
  state.dispatcher.ended(generationId, "failed", at);
  const figures = { upstream, delivered: generation.deliveredIndex };
  const reason = "generation_gone";
  const delivered = generation.deliveredIndex > 0;
  generation.restarts += 1;
  const canRestart = mayStartAgain(generation) &&
    generation.restarts <= maxRestarts;
  if (delivered || !canRestart) {
    removeGeneration(state, generation);
    recordDecision(
      state,
      { kind: "drop", subject: requestId, reason, figures },
      at.wall,
    );
    return [
      ...failGeneration(generation, {
        error: delivered ? "generation_lost" : "upstream_lost",
        notRun: false,
        retryAfterMs,
      }),
      ...releaseBacklog(state, at),
    ];
  }
  recordDecision(
    state,
    { kind: "retry", subject: requestId, reason, figures },
    at.wall,
  );
  generation.tries = 0;
  resetGeneration(state, generation);
  return [count("retries", reason), ...placeGeneration(state, generation, at)];
}

/** Resumes after a backoff, or abandons the engine at the limit of resumes. */
function scheduleResume(
  state: EntryState,
  generation: Generation,
  event: EngineFailed,
): readonly EntryEffect[] {
  const { at } = event;
  const reason = event.failure.kind === "lost" ? event.failure.reason : "";
  generation.tries += 1;
  generation.progressDeadline = null;
  const limit = generation.deliveredIndex > 0
    ? maxResumes
    : maxUndeliveredResumes;
  // Another engine is tried only once it is known whether this one has ended.
  const isPending = state.earlyLosses.isPending(generation.stream.upstream);
  if (generation.tries > limit && !isPending) {
    return abandonEngine(state, generation, event);
  }
  const { requestId, generationId, upstream } = generation.stream;
  generation.phase = "resuming";
  const figures = { upstream, from: generation.nextIndex };
  recordDecision(
    state,
    { kind: "resume", subject: requestId, reason, figures },
    at.wall,
  );
  const backoffMs = Math.min(
    maxBackoffMs,
    initialBackoffMs * 2 ** (generation.tries - 1),
  );
  const delayMs = state.random.jitter(backoffMs, backoffJitter);
  const timer = { kind: "retry_generation", generationId } as const;
  return [
    count("resumes", reason),
    { kind: "drop_attempt", attemptId: event.attemptId },
    { kind: "set_timer", timer, at: at.monotonic + delayMs },
  ];
}

/** Cancels a generation; restarts it unless output was delivered. */
function abandonEngine(
  state: EntryState,
  generation: Generation,
  event: EngineFailed,
): readonly EntryEffect[] {
  state.dispatcher.removeEngine(generation.stream.upstream);
  generation.tries = 0;
  return [
    { kind: "drop_attempt", attemptId: event.attemptId },
    ...cancelAtEngine(state, generation),
    ...restartGone(state, generation, event),
  ];
}
