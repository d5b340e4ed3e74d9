import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import type { Generation } from "./generation.ts";
import type { GenerationEvent } from "./generation_event.ts";
import { beginTakeOver, resolveTakeOver } from "../usage/taken_over.ts";
import { decide } from "../util/decide.ts";
import { count, fail } from "../util/effects.ts";
import { refuseDraining } from "../util/refuse_draining.ts";
import { retryGeneration } from "./generation_recovery.ts";
import { forgetGeneration, pumpBacklog } from "./generation_start.ts";

/** Milliseconds for which a resume waits for its engine to be listed. */
const addressWaitMs = 10_000;
const takeOverRetryMs = 1_000;

type Event<Kind extends GenerationEvent["kind"]> = Timed<
  Extract<GenerationEvent, { kind: Kind }>
>;

type Handlers = EventHandlers<EntryState, GenerationEvent, EntryEffect>;

/** Continues a stream after the last event that its reader holds. */
export const resumeStream: Handlers["stream_resumed"] = (state, event) => {
  const { readerId, position, at } = event;
  const { requestId, generationId, workClass } = position.token;
  if (state.stopping) {
    const refused = { readerId, requestId, notRun: false } as const;
    return refuseDraining(state, refused, at);
  }
  const { classes } = state.timeline.at(at.wall).statement;
  const stated = classes[workClass];
  if (stated === undefined) {
    return fail({ readerId, requestId, error: "not_ready", notRun: false });
  }
  const previous = state.generations.get(generationId);
  const generation = createResumed(state, event, stated.targets);
  const effects = previous === undefined
    ? takeOverCharge(state, generation, at)
    : replacePrevious(state, previous, generation);
  state.generations.set(generationId, generation);
  state.readers.set(readerId, generationId);
  const { token, index } = position;
  const figures = { upstream: token.upstream, from: index + 1 };
  decide(
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
    ...(previous === undefined && token.carrier !== state.carrier
      ? [{ kind: "take_over", address: token.carrier, generationId } as const]
      : retryGeneration(state, generation, at)),
  ];
};

/** Resumes at the engine once the former carrier has answered or failed. */
export const continueTakenOver: Handlers["take_over_answered"] = (
  state,
  event,
) => {
  const { generationId, charged, at } = event;
  const generation = state.generations.get(generationId);
  if (generation === undefined) {
    return [];
  }
  const effects = generation.attemptId === ""
    ? retryGeneration(state, generation, at)
    : [];
  if (charged !== null) {
    generation.formerCarrier = null;
    resolveTakeOver(state, generationId, charged);
    return effects;
  }
  const due = at.monotonic + takeOverRetryMs;
  const timer = { kind: "retry_take_over", generationId } as const;
  return [...effects, { kind: "set_timer", timer, at: due }];
};

/** Tells the former carrier again, while this entry carries the stream. */
export function retryTakeOver(
  state: EntryState,
  generationId: string,
): readonly EntryEffect[] {
  const generation = state.generations.get(generationId);
  if (generation === undefined || generation.formerCarrier === null) {
    return [];
  }
  const address = generation.formerCarrier;
  return [{ kind: "take_over", address, generationId }];
}

/** Leaves a generation to the entry that carries it now. */
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
  forgetGeneration(state, generation);
  state.dispatcher.ended(generationId, "cancelled", at);
  decide(
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
    ...pumpBacklog(state, at),
  ];
};

/** Charges from where this entry stopped, or waits for the former carrier. */
function takeOverCharge(
  state: EntryState,
  generation: Generation,
  at: Moment,
): readonly EntryEffect[] {
  const { stream, nextIndex: start } = generation;
  const charged = state.usageHandover.charged.get(stream.generationId);
  if (charged === undefined) {
    beginTakeOver(state, { stream, start }, at);
  } else {
    generation.chargedIndex = charged;
  }
  return [];
}

function replacePrevious(
  state: EntryState,
  previous: Generation,
  next: Generation,
): readonly EntryEffect[] {
  const { readerId, attemptId, address, nextIndex, chargedIndex } = previous;
  next.address = address;
  next.chargedIndex = Math.max(chargedIndex, nextIndex);
  next.formerCarrier = previous.formerCarrier;
  forgetGeneration(state, previous);
  return [
    { kind: "drop_attempt", attemptId },
    ...(readerId === null ? [] : [{ kind: "drop_reader", readerId } as const]),
  ];
}

function createResumed(
  state: EntryState,
  event: Event<"stream_resumed">,
  targets: Generation["demand"]["targets"],
): Generation {
  const { readerId, at } = event;
  const { token, index } = event.position;
  const { requestId, workspace, workClass, model, carrier } = token;
  return {
    stream: { ...token, carrier: state.carrier },
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
    traceParent: undefined,
    whole: false,
    document: false,
    takenOver: true,
    formerCarrier: carrier === state.carrier ? null : carrier,
    phase: "resuming",
    attemptId: "",
    nextIndex: index + 1,
    deliveredIndex: index + 1,
    buffer: [],
    tries: 0,
    restarts: 0,
    address: null,
    attached: false,
    progressDeadline: null,
    addressDeadline: at.monotonic + addressWaitMs,
    chargedIndex: 0,
    lastTokenAt: at.monotonic,
    stalledMs: 0,
  };
}
