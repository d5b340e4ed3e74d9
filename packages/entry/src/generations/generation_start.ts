import type { Placement } from "@lavenderferry/policy";
import type { Moment } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import type { Generation } from "./generation.ts";
import { nextId } from "../state.ts";
import { recordChargedIndex } from "../usage/taken_over_usage.ts";
import { recordDecision } from "../util/record_decision.ts";
import { count, failRequest } from "../util/effects.ts";
import { progressTimeoutMs } from "./generation.ts";

/** Asks the policy to place a generation: it is sent, queued or refused. */
export function placeGeneration(
  state: EntryState,
  generation: Generation,
  at: Moment,
): readonly EntryEffect[] {
  const placement = state.dispatcher.place(generation.demand, at);
  return applyPlacement(state, generation, { placement, at });
}

/** Starts or refuses the generations that leave the policy's backlog. */
export function releaseBacklog(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  const effects: EntryEffect[] = [];
  for (const { demand, placement } of state.dispatcher.release(at)) {
    const generation = state.waiting.get(demand.requestId);
    if (generation !== undefined) {
      effects.push(...applyPlacement(state, generation, { placement, at }));
    }
  }
  return effects;
}

function applyPlacement(
  state: EntryState,
  generation: Generation,
  decision: { readonly placement: Placement; readonly at: Moment },
): readonly EntryEffect[] {
  const { placement, at } = decision;
  const { reason, figures } = placement;
  const subject = generation.stream.requestId;
  state.waiting.delete(subject);
  switch (placement.kind) {
    case "dispatch":
      recordDecision(
        state,
        { kind: "choose", subject, reason, figures },
        at.wall,
      );
      return startGeneration(state, generation, { ...placement, at });
    case "wait":
      recordDecision(
        state,
        { kind: "queue", subject, reason, figures },
        at.wall,
      );
      state.waiting.set(subject, generation);
      return [];
    case "refuse":
      recordDecision(
        state,
        { kind: "refuse", subject, reason, figures },
        at.wall,
      );
      removeGeneration(state, generation);
      return failGeneration(generation, {
        error: placement.error,
        notRun: true,
        retryAfterMs: placement.retryAfterMs,
      });
  }
}

/** Answers the generation's reader, if it is connected, with an error. */
export function failGeneration(
  generation: Generation,
  failure: Omit<Parameters<typeof failRequest>[0], "readerId" | "requestId">,
): readonly EntryEffect[] {
  const { readerId, stream } = generation;
  if (readerId === null) {
    return [];
  }
  return failRequest({ readerId, requestId: stream.requestId, ...failure });
}

/**
 * Removes a generation from the state and the backlog, and records up to which
 * index this entry charged it.
 */
export function removeGeneration(
  state: EntryState,
  generation: Generation,
): void {
  const { generationId, requestId } = generation.stream;
  const { nextIndex, chargedIndex } = generation;
  recordChargedIndex(state, generationId, Math.max(nextIndex, chargedIndex));
  state.generations.delete(generationId);
  if (state.waiting.delete(requestId)) {
    state.dispatcher.withdraw(requestId);
  }
  if (generation.readerId !== null) {
    state.generationIdByReader.delete(generation.readerId);
  }
}

/** Restarts a generation under a new id; events of the old id are ignored. */
export function resetGeneration(
  state: EntryState,
  generation: Generation,
): void {
  state.generations.delete(generation.stream.generationId);
  generation.stream = { ...generation.stream, generationId: nextId(state) };
  generation.phase = "waiting";
  generation.progressDeadline = null;
  generation.firstTokenAt = null;
  generation.chargedIndex = 0;
  generation.nextIndex = 0;
  generation.buffer = [];
  const { generationId } = generation.stream;
  state.generations.set(generationId, generation);
  if (generation.readerId !== null) {
    state.generationIdByReader.set(generation.readerId, generationId);
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
  generation.sentAt = at.monotonic;
  generation.address = vm.address;
  generation.attemptAccepted = false;
  generation.progressDeadline = at.monotonic + progressTimeoutMs;
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
