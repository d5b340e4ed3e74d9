import type { Placement } from "@lavenderferry/policy";
import type { Moment } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import type { Generation } from "./generation.ts";
import { nextId } from "../state.ts";
import { rememberCharged } from "../usage/taken_over.ts";
import { decide } from "../util/decide.ts";
import { count, fail } from "../util/effects.ts";
import { maxSilenceMs } from "./generation.ts";

/** Places a generation that has not started: sends, queues or refuses it. */
export function placeGeneration(
  state: EntryState,
  generation: Generation,
  at: Moment,
): readonly EntryEffect[] {
  const placement = state.dispatcher.place(generation.demand, at);
  return followPlacement(state, generation, { placement, at });
}

/** Acts on every demand of the backlog whose wait is over. */
export function pumpBacklog(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  const effects: EntryEffect[] = [];
  for (const { demand, placement } of state.dispatcher.release(at)) {
    const generation = state.waiting.get(demand.requestId);
    if (generation !== undefined) {
      effects.push(...followPlacement(state, generation, { placement, at }));
    }
  }
  return effects;
}

function followPlacement(
  state: EntryState,
  generation: Generation,
  decided: { readonly placement: Placement; readonly at: Moment },
): readonly EntryEffect[] {
  const { placement, at } = decided;
  const { reason, figures } = placement;
  const subject = generation.stream.requestId;
  state.waiting.delete(subject);
  switch (placement.kind) {
    case "dispatch":
      decide(state, { kind: "choose", subject, reason, figures }, at.wall);
      return startGeneration(state, generation, { ...placement, at });
    case "wait":
      decide(state, { kind: "queue", subject, reason, figures }, at.wall);
      state.waiting.set(subject, generation);
      return [];
    case "refuse":
      decide(state, { kind: "refuse", subject, reason, figures }, at.wall);
      forgetGeneration(state, generation);
      return failGeneration(generation, {
        error: placement.error,
        notRun: true,
        retryAfterMs: placement.retryAfterMs,
      });
  }
}

/** Answers the generation's reader, if it is there, with an error. */
export function failGeneration(
  generation: Generation,
  failure: Omit<Parameters<typeof fail>[0], "readerId" | "requestId">,
): readonly EntryEffect[] {
  const { readerId, stream } = generation;
  if (readerId === null) {
    return [];
  }
  return fail({ readerId, requestId: stream.requestId, ...failure });
}

/** Removes a generation from everything that refers to it. */
export function forgetGeneration(
  state: EntryState,
  generation: Generation,
): void {
  const { generationId, requestId } = generation.stream;
  const { nextIndex, chargedIndex } = generation;
  rememberCharged(state, generationId, Math.max(nextIndex, chargedIndex));
  state.generations.delete(generationId);
  if (state.waiting.delete(requestId)) {
    state.dispatcher.withdraw(requestId);
  }
  if (generation.readerId !== null) {
    state.readers.delete(generation.readerId);
  }
}

/** Gives the generation a new id, so that nothing of the old one is taken. */
export function renameGeneration(
  state: EntryState,
  generation: Generation,
): void {
  state.generations.delete(generation.stream.generationId);
  generation.stream = { ...generation.stream, generationId: nextId(state) };
  generation.phase = "waiting";
  generation.progressDeadline = null;
  generation.chargedIndex = 0;
  generation.nextIndex = 0;
  generation.buffer = [];
  const { generationId } = generation.stream;
  state.generations.set(generationId, generation);
  if (generation.readerId !== null) {
    state.readers.set(generation.readerId, generationId);
  }
}

function startGeneration(
  state: EntryState,
  generation: Generation,
  start: { engine: string; priority: number; at: Moment },
): readonly EntryEffect[] {
  const { engine, priority, at } = start;
  const vm = state.vms.get(engine);
  if (vm === undefined) {
    state.dispatcher.removeEngine(engine);
    return placeGeneration(state, generation, at);
  }
  const { generationId } = generation.stream;
  generation.stream = { ...generation.stream, upstream: engine };
  generation.phase = "sent";
  generation.address = vm.address;
  generation.attached = false;
  generation.progressDeadline = at.monotonic + maxSilenceMs;
  generation.attemptId = nextId(state);
  generation.tries += 1;
  const { demand, prompt, traceParent, attemptId } = generation;
  state.dispatcher.sent({ generationId, engine, demand }, at);
  const { model, maxTokens } = demand;
  return [
    count("requests", "generation"),
    {
      kind: "start_generation",
      attemptId,
      address: vm.address,
      request: {
        generationId,
        model,
        prompt,
        maxTokens,
        priority,
        traceParent,
      },
    },
  ];
}
