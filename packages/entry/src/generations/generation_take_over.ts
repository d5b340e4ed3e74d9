import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import type { Generation } from "./generation.ts";
import type { GenerationEvent } from "./generation_event.ts";
import { recordDecision } from "../util/record_decision.ts";
import { beginTakeOver, resolveTakeOver } from "../usage/taken_over_usage.ts";
import { count, failRequest } from "../util/effects.ts";
import { refuseDraining } from "../util/refuse_draining.ts";
import { resumeGeneration } from "./generation_recovery.ts";
import { releaseBacklog, removeGeneration } from "./generation_start.ts";

/** Milliseconds for which a resume waits until its engine is listed. */
const addressTimeoutMs = 10_000;
const takeOverRetryDelayMs = 1_000;

type Event<Kind extends GenerationEvent["kind"]> = Timed<
  Extract<GenerationEvent, { kind: Kind }>
>;

type Handlers = EventHandlers<EntryState, GenerationEvent, EntryEffect>;

/** Continues a stream after the last event that its reader received. */
export const resumeStream: Handlers["stream_resumed"] = (state, event) => {
  const { readerId, position, at } = event;
  const { requestId, generationId, workClass } = position.token;
  if (state.stopping) {
    const request = { readerId, requestId, notRun: false } as const;
    return refuseDraining(state, request, at);
  }
  const { classes } = state.timeline.at(at.wall).statement;
  const classStatement = classes[workClass];
  if (classStatement === undefined) {
    return failRequest({
      readerId,
      requestId,
      error: "not_ready",
      notRun: false,
    });
  }
  const previous = state.generations.get(generationId);
  const generation = createResumedGeneration(
    state,
    event,
    classStatement.targets,
  );
  const effects = previous === undefined
    ? beginCharging(state, generation, at)
    : replacePrevious(state, previous, generation);
  state.generations.set(generationId, generation);
  state.generationIdByReader.set(readerId, generationId);
  const { token, index } = position;
  const figures = { upstream: token.upstream, from: index + 1 };
  recordDecision(
    state,
    {
      kind: "take_over",
      subject: requestId,
      reason: "last_event_id",
      figures,
    },
    at.wall,
  );
  return [
    ...effects,
    count("resumes", "take_over"),
    ...(previous === undefined && token.entryAddress !== state.peerAddress
      ? [
        {
          kind: "take_over",
          address: token.entryAddress,
          generationId,
        } as const,
      ]
      : resumeGeneration(state, generation, at)),
  ];
};

/** Resumes at the engine once the previous entry has answered or failed. */
export const continueTakenOver: Handlers["take_over_answered"] = (
  state,
  event,
) => {
  const { generationId, chargedIndex, at } = event;
  const generation = state.generations.get(generationId);
  if (generation === undefined) {
    return [];
  }
  const effects = generation.attemptId === ""
    ? resumeGeneration(state, generation, at)
    : [];
  if (chargedIndex !== null) {
    generation.previousEntryAddress = null;
    resolveTakeOver(state, generationId, chargedIndex);
    return effects;
  }
  const retryAt = at.monotonic + takeOverRetryDelayMs;
  const timer = { kind: "retry_take_over", generationId } as const;
  return [...effects, { kind: "set_timer", timer, at: retryAt }];
};

/** Repeats the take-over call while the stream is still at this entry. */
export function retryTakeOver(
  state: EntryState,
  generationId: string,
): readonly EntryEffect[] {
  const generation = state.generations.get(generationId);
  if (generation === undefined || generation.previousEntryAddress === null) {
    return [];
  }
  const address = generation.previousEntryAddress;
  return [{ kind: "take_over", address, generationId }];
}

/** Drops a generation that another entry has taken over. */
export const yieldGeneration: Handlers["generation_taken_over"] = (
  state,
  event,
) => {
  const { generationId, by, at } = event;
  const generation = state.generations.get(generationId);
  if (generation === undefined) {
    return [];
  }
  const { readerId, attemptId, stream, nextIndex } = generation;
  removeGeneration(state, generation);
  state.dispatcher.ended(generationId, "cancelled", at);
  recordDecision(
    state,
    {
      kind: "drop",
      subject: stream.requestId,
      reason: "taken_over",
      figures: { by, tokens: nextIndex },
    },
    at.wall,
  );
  return [
    count("resumes", "yielded"),
    { kind: "drop_attempt", attemptId },
    ...(readerId === null ? [] : [{ kind: "drop_reader", readerId } as const]),
    ...releaseBacklog(state, at),
  ];
};

/**
 * Continues the charge where this entry stopped, or withholds it until the
 * previous entry has stated up to which index it charged.
 */
function beginCharging(
  state: EntryState,
  generation: Generation,
  at: Moment,
): readonly EntryEffect[] {
  const { stream, nextIndex: startIndex } = generation;
  const chargedIndex = state.usageHandover.chargedIndexes.get(
    stream.generationId,
  );
  if (chargedIndex === undefined) {
    beginTakeOver(state, { stream, startIndex }, at);
  } else {
    generation.chargedIndex = chargedIndex;
  }
  return [];
}

/** Moves a stream to a new connection of its reader at the same entry. */
function replacePrevious(
  state: EntryState,
  previous: Generation,
  next: Generation,
): readonly EntryEffect[] {
  const { readerId, attemptId, address, nextIndex, chargedIndex } = previous;
  next.address = address;
  next.chargedIndex = Math.max(chargedIndex, nextIndex);
  next.previousEntryAddress = previous.previousEntryAddress;
  removeGeneration(state, previous);
  return [
    { kind: "drop_attempt", attemptId },
    ...(readerId === null ? [] : [{ kind: "drop_reader", readerId } as const]),
  ];
}

function createResumedGeneration(
  state: EntryState,
  event: Event<"stream_resumed">,
  targets: Generation["demand"]["targets"],
): Generation {
  const { readerId, at } = event;
  const { token, index } = event.position;
  const { requestId, workspace, workClass, model, entryAddress } = token;
  return {
    stream: { ...token, entryAddress: state.peerAddress },
    readerId,
    demand: {
      requestId,
      workspace,
      workClass,
      model,
      promptTokens: 0,
      maxTokens: 0,
      prefix: [],
      targets,
      arrivedAt: at.monotonic,
    },
    prompt: "",
    suspectIds: [],
    traceParent: undefined,
    deliverAtEnd: false,
    asJson: false,
    createdByResume: true,
    previousEntryAddress: entryAddress === state.peerAddress
      ? null
      : entryAddress,
    phase: "resuming",
    attemptId: "",
    nextIndex: index + 1,
    deliveredIndex: index + 1,
    buffer: [],
    tries: 0,
    restarts: 0,
    sentAt: 0,
    firstTokenAt: at.monotonic,
    lostBeforeToken: false,
    lossesBeforeToken: 0,
    address: null,
    attemptAccepted: false,
    progressDeadline: null,
    addressDeadline: at.monotonic + addressTimeoutMs,
    chargedIndex: 0,
    lastTokenAt: at.monotonic,
    stalledMs: 0,
  };
}
