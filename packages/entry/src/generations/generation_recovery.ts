import type { Moment, Timed } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import type { Generation } from "./generation.ts";
import type { GenerationEvent } from "./generation_event.ts";
import { nextId } from "../state.ts";
import { decide } from "../util/decide.ts";
import { count } from "../util/effects.ts";
import { maxSilenceMs } from "./generation.ts";
import {
  failGeneration,
  forgetGeneration,
  placeGeneration,
  pumpBacklog,
  renameGeneration,
} from "./generation_start.ts";

type EngineFailed = Timed<Extract<GenerationEvent, { kind: "engine_failed" }>>;

const maxStarts = 4;
const maxRestarts = 8;
const maxResumes = 6;
/** Fewer while nothing was delivered, as a new generation costs no reader. */
const maxUndeliveredResumes = 2;
const firstBackoffMs = 50;
const maxBackoffMs = 1_000;
const backoffJitter = 0.5;
const retryAfterMs = 1_000;
const addressPollMs = 200;

/** Resumes, restarts or gives up a generation whose attempt failed. */
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
      return replaceGone(state, generation, event);
    case "lost":
      return scheduleResume(state, generation, event);
  }
}

/** Sends the resume of a generation whose backoff has passed. */
export function retryGeneration(
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
  generation.attached = false;
  generation.progressDeadline = at.monotonic + maxSilenceMs;
  const { attemptId, nextIndex: from } = generation;
  return [
    { kind: "resume_generation", attemptId, address, generationId, from },
  ];
}

/** Tries a new connection where progress is overdue. */
export function watchProgress(
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

/** Frees the engine of a generation whose cost is charged once known. */
export function cancelAtEngine(
  state: EntryState,
  generation: Generation,
): readonly EntryEffect[] {
  const { generationId, upstream, workClass, workspace } = generation.stream;
  const address = state.vms.get(upstream)?.address ?? generation.address;
  if (address === null) {
    return [];
  }
  const deliveredTokens = Math.max(
    generation.nextIndex,
    generation.chargedIndex,
  );
  state.cancelled.set(generationId, { workClass, workspace, deliveredTokens });
  return [{ kind: "cancel_generation", address, generationId }];
}

/** The list of VMs lags: the engine of a resumed stream may appear in it. */
function awaitAddress(
  state: EntryState,
  generation: Generation,
  at: Moment,
): readonly EntryEffect[] {
  const { generationId } = generation.stream;
  const { addressDeadline } = generation;
  if (addressDeadline === null || at.monotonic >= addressDeadline) {
    forgetGeneration(state, generation);
    return failGeneration(generation, {
      error: "no_upstream",
      notRun: false,
      retryAfterMs,
    });
  }
  const timer = { kind: "retry_generation", generationId } as const;
  return [
    count("retries", "unknown_address"),
    { kind: "set_timer", timer, at: at.monotonic + addressPollMs },
  ];
}

/**
 * An engine that accepted the attempt may be silent because it preempted the
 * generation, so a new connection counts as a try only when the last one was
 * not accepted.
 */
function replaceConnection(
  state: EntryState,
  generation: Generation,
  at: Moment,
): readonly EntryEffect[] {
  const { attemptId, stream, attached } = generation;
  if (!attached) {
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
    ...retryGeneration(state, generation, at),
  ];
}

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
    forgetGeneration(state, generation);
    return [
      ...failGeneration(generation, {
        error: "upstream_refused",
        notRun: generation.restarts === 0,
        retryAfterMs,
      }),
      ...pumpBacklog(state, at),
    ];
  }
  const figures = { upstream, tries: generation.tries };
  decide(
    state,
    { kind: "retry", subject: requestId, reason, figures },
    at.wall,
  );
  renameGeneration(state, generation);
  return [
    count("retries", reason),
    ...placeGeneration(state, generation, at),
  ];
}

function replaceGone(
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
  if (delivered || generation.restarts > maxRestarts) {
    forgetGeneration(state, generation);
    decide(
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
      ...pumpBacklog(state, at),
    ];
  }
  decide(
    state,
    { kind: "retry", subject: requestId, reason, figures },
    at.wall,
  );
  generation.tries = 0;
  renameGeneration(state, generation);
  return [count("retries", reason), ...placeGeneration(state, generation, at)];
}

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
  if (generation.tries > limit) {
    return abandonEngine(state, generation, event);
  }
  const { requestId, generationId, upstream } = generation.stream;
  generation.phase = "resuming";
  const figures = { upstream, from: generation.nextIndex };
  decide(
    state,
    { kind: "resume", subject: requestId, reason, figures },
    at.wall,
  );
  const backoff = Math.min(
    maxBackoffMs,
    firstBackoffMs * 2 ** (generation.tries - 1),
  );
  const wait = state.random.jitter(backoff, backoffJitter);
  const timer = { kind: "retry_generation", generationId } as const;
  return [
    count("resumes", reason),
    { kind: "drop_attempt", attemptId: event.attemptId },
    { kind: "set_timer", timer, at: at.monotonic + wait },
  ];
}

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
    ...replaceGone(state, generation, event),
  ];
}
