import type { WorkClass } from "@lavenderferry/configuration";
import type { ErrorKind } from "@lavenderferry/errors";
import {
  estimateTokens,
  prefixDigests,
  requestBlockOf,
} from "@lavenderferry/policy";
import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import type { Generation } from "./generation.ts";
import type {
  EngineUsage,
  GenerationEvent,
  GenerationRequested,
  Token,
} from "./generation_event.ts";
import { nextId } from "../state.ts";
import { recordDecision } from "../util/record_decision.ts";
import { chargeOutput } from "../usage/taken_over_usage.ts";
import { count, failRequest } from "../util/effects.ts";
import { hashTexts } from "../util/hash_texts.ts";
import { isReady } from "../util/is_ready.ts";
import { refuseDraining } from "../util/refuse_draining.ts";
import {
  recordAnswered,
  refuseQuarantined,
} from "../quarantine/quarantine_part.ts";
import { progressTimeoutMs } from "./generation.ts";
import { handOverStream } from "./hand_over.ts";
import { cancelAtEngine, recoverGeneration } from "./generation_recovery.ts";
import {
  continueTakenOver,
  resumeStream,
  yieldGeneration,
} from "./generation_take_over.ts";
import {
  failGeneration,
  placeGeneration,
  releaseBacklog,
  removeGeneration,
} from "./generation_start.ts";

/** Milliseconds for which a disconnected reader may resume its generation. */
const reconnectGraceMs = 3_000;

type Event<Kind extends GenerationEvent["kind"]> = Timed<
  Extract<GenerationEvent, { kind: Kind }>
>;

/**
 * Handles the events of generations: requests and resumes by readers, and the
 * answers of engines.
 */
export const generationPart: EventHandlers<
  EntryState,
  GenerationEvent,
  EntryEffect
> = {
  generation_requested: requestGeneration,
  stream_resumed: resumeStream,
  take_over_answered: continueTakenOver,
  generation_taken_over: yieldGeneration,
  cancel_requested: cancelOnRequest,
  engine_accepted: markAttemptAccepted,
  reader_left: (state, event) => detachReader(state, event.readerId, event.at),
  reader_too_slow: (state, event) => [
    count("refusals", "reader_too_slow"),
    ...detachReader(state, event.readerId, event.at),
  ],
  tokens_received: receiveTokens,
  engine_finished: finishGeneration,
  engine_failed: recoverGeneration,
  generation_cancelled: chargeCancelled,
};

function requestGeneration(
  state: EntryState,
  event: Timed<GenerationRequested>,
): readonly EntryEffect[] {
  const { readerId, requestId } = event;
  const workClass = state.timeline.at(event.at.wall).statement
    .classes[event.workClass];
  if (state.stopping) {
    return refuseDraining(state, event, event.at);
  }
  const refusal = refusalOf(state, event, workClass);
  if (refusal !== null || workClass === undefined) {
    const error = refusal ?? "unknown_class";
    return failRequest({ readerId, requestId, error, notRun: true });
  }
  const prefix = prefixDigests(event.prompt);
  const suspectIds = [...prefix.slice(0, -1), requestBlockOfPrompt(event)];
  const quarantined = refuseQuarantined(
    state,
    { readerId, requestId, suspectIds },
    event.at,
  );
  if (quarantined !== null) {
    return quarantined;
  }
  const generation = createGeneration(state, event, {
    workClass,
    prefix,
    suspectIds,
  });
  state.generations.set(generation.stream.generationId, generation);
  state.generationIdByReader.set(readerId, generation.stream.generationId);
  return placeGeneration(state, generation, event.at);
}

function requestBlockOfPrompt(
  { workspace, workClass, model, prompt, maxTokens }: GenerationRequested,
): string {
  const texts = [workspace, workClass, model, String(maxTokens), prompt];
  return requestBlockOf(hashTexts(texts));
}

function refusalOf(
  state: EntryState,
  event: Timed<GenerationRequested>,
  workClass: WorkClass | undefined,
): ErrorKind | null {
  if (!isReady(state, event.at.wall)) {
    return "not_ready";
  }
  if (workClass === undefined) {
    return "unknown_class";
  }
  const { models } = workClass;
  return models === undefined || models.includes(event.model)
    ? null
    : "unknown_model";
}

function createGeneration(
  state: EntryState,
  event: Timed<GenerationRequested>,
  { workClass, prefix, suspectIds }: {
    readonly workClass: WorkClass;
    readonly prefix: readonly string[];
    readonly suspectIds: readonly string[];
  },
): Generation {
  const { requestId, workspace, model, prompt, maxTokens, at } = event;
  return {
    stream: {
      requestId,
      generationId: nextId(state),
      upstream: "",
      workspace,
      workClass: event.workClass,
      model,
      entryAddress: state.peerAddress,
    },
    readerId: event.readerId,
    demand: {
      requestId,
      workspace,
      workClass: event.workClass,
      model,
      promptTokens: estimateTokens(prompt),
      maxTokens,
      prefix,
      targets: workClass.targets,
      arrivedAt: at.monotonic,
    },
    prompt,
    suspectIds,
    traceParent: event.traceParent,
    deliverAtEnd: !event.stream || workClass.delivery === "whole",
    asJson: !event.stream,
    createdByResume: false,
    previousEntryAddress: null,
    phase: "waiting",
    attemptId: "",
    nextIndex: 0,
    deliveredIndex: 0,
    buffer: [],
    ...initialAttemptState,
    lastTokenAt: null,
    stalledMs: 0,
  };
}

const initialAttemptState = {
  tries: 0,
  restarts: 0,
  sentAt: 0,
  firstTokenAt: null,
  lostBeforeToken: false,
  lossesBeforeToken: 0,
  address: null,
  attemptAccepted: false,
  progressDeadline: null,
  addressDeadline: null,
  chargedIndex: 0,
} as const;

/**
 * Cancels the generation of a reader that left before any token was delivered.
 * Otherwise waits for the reader to resume.
 */
function detachReader(
  state: EntryState,
  readerId: string,
  at: Moment,
): readonly EntryEffect[] {
  const generationId = state.generationIdByReader.get(readerId) ?? "";
  const generation = state.generations.get(generationId);
  if (generation === undefined) {
    return [];
  }
  state.generationIdByReader.delete(readerId);
  generation.readerId = null;
  if (generation.deliverAtEnd || generation.deliveredIndex === 0) {
    return cancelGeneration(state, generation, at);
  }
  const timer = { kind: "cancel_orphan", generationId } as const;
  return [
    { kind: "set_timer", timer, at: at.monotonic + reconnectGraceMs },
  ];
}

function cancelOnRequest(
  state: EntryState,
  event: Event<"cancel_requested">,
): readonly EntryEffect[] {
  const { readerId, requestId, workspace, at } = event;
  const generation = [...state.generations.values()].find(({ stream }) =>
    stream.requestId === requestId && stream.workspace === workspace
  );
  if (generation === undefined) {
    return failRequest({
      readerId,
      requestId,
      error: "not_found",
      notRun: "unknown",
    });
  }
  const body = JSON.stringify({ cancelled: true });
  const answer = { status: 200, contentType: "application/json", body };
  return [
    { kind: "send_answer", readerId, requestId, answer, replayed: false },
    ...failGeneration(generation, { error: "cancelled", notRun: false }),
    ...cancelGeneration(state, generation, at),
  ];
}

function markAttemptAccepted(
  state: EntryState,
  event: Event<"engine_accepted">,
): readonly EntryEffect[] {
  const generation = findByAttempt(state, event);
  if (generation !== undefined) {
    generation.attemptAccepted = true;
    generation.lostBeforeToken = false;
    generation.progressDeadline = event.at.monotonic + progressTimeoutMs;
  }
  return [];
}

/** Cancels a generation whose reader left or requested the cancellation. */
export function cancelGeneration(
  state: EntryState,
  generation: Generation,
  at: Moment,
): readonly EntryEffect[] {
  const { stream, phase, attemptId } = generation;
  const { generationId, requestId } = stream;
  removeGeneration(state, generation);
  const figures = { tokens: generation.nextIndex };
  const reason = "reader_left";
  recordDecision(
    state,
    { kind: "cancel", subject: requestId, reason, figures },
    at.wall,
  );
  if (phase === "waiting") {
    return [count("refusals", "cancelled")];
  }
  state.dispatcher.ended(generationId, "cancelled", at);
  return [
    count("refusals", "cancelled"),
    { kind: "drop_attempt", attemptId },
    ...cancelAtEngine(state, generation),
    ...releaseBacklog(state, at),
  ];
}

/** Charges the cost of a cancelled generation that is not charged already. */
function chargeCancelled(
  state: EntryState,
  event: Event<"generation_cancelled">,
): readonly EntryEffect[] {
  const cancelled = state.cancelled.get(event.generationId);
  state.cancelled.delete(event.generationId);
  if (cancelled === undefined || event.usage === null) {
    return [];
  }
  const { wall } = event.at;
  const { usage } = event;
  const discardedTokens = usage.outputTokens - cancelled.chargedTokens;
  state.usage.add(cancelled, "discarded", { amount: discardedTokens, wall });
  chargePromptTokens(state, cancelled, { usage, wall });
  return [];
}

function receiveTokens(
  state: EntryState,
  event: Event<"tokens_received">,
): readonly EntryEffect[] {
  const generation = findByAttempt(state, event);
  if (generation === undefined) {
    return [count("late_tokens", "other_attempt", event.tokens.length)];
  }
  const { at } = event;
  const newTokens = event.tokens.filter((token) =>
    token.index >= generation.nextIndex
  );
  const effects: EntryEffect[] = [];
  if (newTokens.length < event.tokens.length) {
    const repeatedTokens = event.tokens.length - newTokens.length;
    effects.push(count("late_tokens", "repeated", repeatedTokens));
  }
  if (newTokens.length === 0) {
    return effects;
  }
  if (!areConsecutive(newTokens, generation.nextIndex)) {
    const failure = { kind: "lost", reason: "gap" } as const;
    return recoverGeneration(state, {
      ...event,
      kind: "engine_failed",
      failure,
    });
  }
  effects.push(...observeProgress(generation, newTokens.length, at));
  generation.phase = "streaming";
  generation.tries = 0;
  generation.lostBeforeToken = false;
  generation.firstTokenAt ??= at.monotonic;
  generation.attemptAccepted = true;
  generation.progressDeadline = at.monotonic + progressTimeoutMs;
  generation.nextIndex += newTokens.length;
  state.dispatcher.progressed(event.generationId, generation.nextIndex, at);
  const { chargedIndex, nextIndex, stream } = generation;
  const amount = Math.min(newTokens.length, nextIndex - chargedIndex);
  chargeOutput(state, stream, { amount, wall: at.wall });
  effects.push(count("tokens", stream.workClass, newTokens.length));
  effects.push(...deliver(generation, newTokens));
  effects.push(...handOverStream(state, generation, at));
  return effects;
}

function areConsecutive(
  tokens: readonly Token[],
  firstIndex: number,
): boolean {
  return tokens.every((token, offset) => token.index === firstIndex + offset);
}

function deliver(
  generation: Generation,
  tokens: readonly Token[],
): readonly EntryEffect[] {
  const { readerId, stream } = generation;
  if (generation.deliverAtEnd) {
    generation.buffer.push(...tokens);
    return [];
  }
  if (readerId === null) {
    return [];
  }
  generation.deliveredIndex = generation.nextIndex;
  return [{ kind: "send_tokens", readerId, stream, tokens }];
}

function observeProgress(
  generation: Generation,
  tokenCount: number,
  at: Moment,
): readonly EntryEffect[] {
  const { demand, lastTokenAt } = generation;
  const { workClass, targets, arrivedAt } = demand;
  generation.lastTokenAt = at.monotonic;
  if (lastTokenAt === null) {
    const milliseconds = at.monotonic - arrivedAt;
    return [{
      kind: "observe",
      histogram: "first_token",
      workClass,
      milliseconds,
    }];
  }
  const waitedMs = at.monotonic - lastTokenAt;
  generation.stalledMs += Math.max(0, waitedMs - targets.betweenTokensMs);
  const milliseconds = waitedMs / tokenCount;
  return [{
    kind: "observe",
    histogram: "between_tokens",
    workClass,
    milliseconds,
  }];
}

function finishGeneration(
  state: EntryState,
  event: Event<"engine_finished">,
): readonly EntryEffect[] {
  const generation = findByAttempt(state, event);
  if (generation === undefined) {
    return [count("late_tokens", "other_attempt")];
  }
  const { usage, finishReason, at } = event;
  if (
    finishReason === "cancelled" || usage.outputTokens !== generation.nextIndex
  ) {
    const failure = finishReason === "cancelled"
      ? { kind: "gone" } as const
      : { kind: "lost", reason: "short_answer" } as const;
    return recoverGeneration(state, {
      ...event,
      kind: "engine_failed",
      failure,
    });
  }
  const { readerId, stream, demand, stalledMs } = generation;
  removeGeneration(state, generation);
  state.dispatcher.ended(event.generationId, "finished", at);
  chargePromptTokens(state, stream, { usage, wall: at.wall });
  const figures = {
    tokens: usage.outputTokens,
    preemptions: usage.preemptions,
    stalledMs: Math.round(stalledMs),
  };
  const subject = stream.requestId;
  recordDecision(
    state,
    { kind: "finish", subject, reason: finishReason, figures },
    at.wall,
  );
  const { workClass } = demand;
  const effects: EntryEffect[] = [{
    kind: "observe",
    histogram: "stall",
    workClass,
    milliseconds: stalledMs,
  }];
  if (readerId !== null) {
    effects.push(
      createFinalEffect(generation, readerId, { finishReason, usage }),
    );
  }
  if (usage.outputTokens > 0) {
    effects.push(...recordAnswered(state, generation.suspectIds, at));
  }
  effects.push(...releaseBacklog(state, at));
  return effects;
}

function createFinalEffect(
  generation: Generation,
  readerId: string,
  end: { finishReason: string; usage: EngineUsage },
): EntryEffect {
  const { stream, deliverAtEnd, asJson, buffer: tokens } = generation;
  return deliverAtEnd
    ? { kind: "send_completion", readerId, asJson, stream, tokens, ...end }
    : { kind: "finish_stream", readerId, stream, ...end };
}

/** Charges the prompt tokens that were not cached and the recomputed tokens. */
function chargePromptTokens(
  state: EntryState,
  cause: { workClass: string; workspace: string },
  charge: { usage: EngineUsage; wall: number },
): void {
  const { usage, wall } = charge;
  const amount = usage.promptTokens - usage.cachedTokens;
  state.usage.add(cause, "prompt", { amount, wall });
  const recomputed = usage.recomputedTokens;
  state.usage.add(cause, "recomputed", { amount: recomputed, wall });
}

/** Returns the generation, unless the event belongs to an earlier attempt. */
function findByAttempt(
  state: EntryState,
  event: { readonly generationId: string; readonly attemptId: string },
): Generation | undefined {
  const generation = state.generations.get(event.generationId);
  return generation?.attemptId === event.attemptId ? generation : undefined;
}
