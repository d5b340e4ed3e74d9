import type { Timed } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import type { Generation } from "./generation.ts";
import type { GenerationEvent } from "./generation_event.ts";
import { nextId } from "../state.ts";
import { decide } from "../util/decide.ts";
import { count } from "../util/effects.ts";
import {
  failGeneration,
  forgetGeneration,
  placeGeneration,
  pumpBacklog,
  renameGeneration,
} from "./generation_start.ts";

type EngineFailed = Timed<Extract<GenerationEvent, { kind: "engine_failed" }>>;

const maxStarts = 4;
const maxResumes = 6;
const firstBackoffMs = 50;
const maxBackoffMs = 1_000;
const backoffJitter = 0.5;
const retryAfterMs = 1_000;

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
): readonly EntryEffect[] {
  if (generation.phase !== "resuming") {
    return [];
  }
  const { generationId, upstream } = generation.stream;
  generation.attemptId = nextId(state);
  const { attemptId, nextIndex: from } = generation;
  const address = state.vms.get(upstream)?.address ?? "";
  return [
    { kind: "resume_generation", attemptId, address, generationId, from },
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
        notRun: true,
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
  if (generation.deliveredIndex > 0 || generation.tries >= maxStarts) {
    forgetGeneration(state, generation);
    decide(
      state,
      { kind: "drop", subject: requestId, reason, figures },
      at.wall,
    );
    return [
      ...failGeneration(generation, { error: "generation_lost" }),
      ...pumpBacklog(state, at),
    ];
  }
  decide(
    state,
    { kind: "retry", subject: requestId, reason, figures },
    at.wall,
  );
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
  if (generation.tries > maxResumes) {
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
  const { generationId, upstream, workClass, workspace } = generation.stream;
  state.dispatcher.removeEngine(upstream);
  const address = state.vms.get(upstream)?.address;
  const deliveredTokens = generation.nextIndex;
  state.cancelled.set(generationId, { workClass, workspace, deliveredTokens });
  generation.tries = 0;
  return [
    { kind: "drop_attempt", attemptId: event.attemptId },
    ...(address === undefined
      ? []
      : [{ kind: "cancel_generation", address, generationId } as const]),
    ...replaceGone(state, generation, event),
  ];
}
