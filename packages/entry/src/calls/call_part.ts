import type { Json, Row } from "@lavenderferry/platform";
import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import { z } from "zod";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import { nextId } from "../state.ts";
import { decide } from "../util/decide.ts";
import { count, fail } from "../util/effects.ts";
import { isReady } from "../util/is_ready.ts";
import { refuseDraining } from "../util/refuse_draining.ts";
import type { Call, CallRecord } from "./call.ts";
import type { CallEvent, CallRequested, ServiceAnswer } from "./call_event.ts";

const claimMs = 3_000;
const resolveMs = 30_000;
const keepRecordMs = 7 * 24 * 3_600_000;
const recordRetryMs = 200;
const maxRecordRetryMs = 5_000;
const maxUpstreams = 3;
const retryAfterMs = 1_000;

const recordSchema = z.object({
  state: z.enum(["dispatched", "answered", "released", "unknown"]),
  digest: z.string(),
  nonce: z.string(),
  requestId: z.string(),
  resolveBy: z.number(),
  expiresAt: z.number(),
  status: z.number().nullable(),
  contentType: z.string().nullable(),
  body: z.string().nullable(),
});

type Event<Kind extends CallEvent["kind"]> = Timed<
  Extract<CallEvent, { kind: Kind }>
>;

/** Routes service calls; a call with a key runs at most once. */
export const callPart: EventHandlers<EntryState, CallEvent, EntryEffect> = {
  call_requested: requestCall,
  call_answered: answerCall,
  call_failed: failCall,
  record_committed: continueCommitted,
  record_failed: retryFailedRecord,
};

/** Tries the running record operation of a call again. */
export function retryRecord(
  state: EntryState,
  callId: string,
): readonly EntryEffect[] {
  const call = state.calls.get(callId);
  if (call === undefined || call.pending === null) {
    return [];
  }
  return [commitPending(call, call.pending)];
}

/** Key of the row that keeps a call's record. */
export function recordKey(request: CallRequested): string {
  return `call/${request.workspace}/${request.service}/${request.key}`;
}

function requestCall(
  state: EntryState,
  event: Timed<CallRequested>,
): readonly EntryEffect[] {
  const { readerId, requestId, at } = event;
  if (state.stopping) {
    return refuseDraining(state, event, at);
  }
  if (!isReady(state, at.wall)) {
    return fail({ readerId, requestId, error: "not_ready", notRun: true });
  }
  const { classes } = state.timeline.at(at.wall).statement;
  if (classes[event.workClass] === undefined) {
    return fail({ readerId, requestId, error: "unknown_class", notRun: true });
  }
  const call: Call = {
    request: event,
    callId: nextId(state),
    phase: "claiming",
    rowVersion: null,
    pending: null,
    mayHaveRun: false,
    tried: [],
    claimDeadline: at.monotonic + claimMs,
    recordTries: 0,
  };
  state.calls.set(call.callId, call);
  if (event.key === null) {
    return dispatchCall(state, call, at);
  }
  const record = createRecord(call, at);
  call.pending = record;
  return [commitPending(call, record)];
}

function createRecord(call: Call, at: Moment): CallRecord {
  return {
    state: "dispatched",
    digest: call.request.digest,
    nonce: call.callId,
    requestId: call.request.requestId,
    resolveBy: at.wall + resolveMs,
    expiresAt: at.wall + keepRecordMs,
    status: null,
    contentType: null,
    body: null,
  };
}

function commitPending(call: Call, record: CallRecord): EntryEffect {
  const write = {
    key: recordKey(call.request),
    ifVersion: call.rowVersion,
    value: record as unknown as Json,
  };
  return { kind: "commit_record", callId: call.callId, write };
}

function continueCommitted(
  state: EntryState,
  event: Event<"record_committed">,
): readonly EntryEffect[] {
  const call = state.calls.get(event.callId);
  if (call === undefined) {
    return [];
  }
  call.recordTries = 0;
  if (event.result.kind === "conflict") {
    const row = event.result.rows[0] ?? null;
    return judgeRow(state, call, { row, at: event.at });
  }
  call.rowVersion = event.result.versions[0] ?? null;
  return continueOwned(state, call, event.at);
}

/** The row holds what this call wrote. */
function continueOwned(
  state: EntryState,
  call: Call,
  at: Moment,
): readonly EntryEffect[] {
  call.pending = null;
  switch (call.phase) {
    case "claiming":
      return dispatchCall(state, call, at);
    case "dispatched":
      return [];
    case "recording":
    case "releasing":
      state.calls.delete(call.callId);
      return [];
  }
}

function judgeRow(
  state: EntryState,
  call: Call,
  found: { readonly row: Row | null; readonly at: Moment },
): readonly EntryEffect[] {
  const { row, at } = found;
  if (row === null) {
    call.rowVersion = null;
    return retryRecord(state, call.callId);
  }
  const parsed = recordSchema.safeParse(row.value);
  if (!parsed.success) {
    return leaveUnreadable(state, call);
  }
  const record = parsed.data;
  if (record.nonce === call.callId && record.state === call.pending?.state) {
    call.rowVersion = row.version;
    return continueOwned(state, call, at);
  }
  if (call.phase !== "claiming") {
    if (record.nonce === call.callId) {
      call.rowVersion = row.version;
      return retryRecord(state, call.callId);
    }
    state.calls.delete(call.callId);
    return [];
  }
  return judgeForeign(state, call, { row, record, at });
}

/** A row of another shape may stand for a run, so nothing is sent. */
function leaveUnreadable(
  state: EntryState,
  call: Call,
): readonly EntryEffect[] {
  const { readerId, requestId } = call.request;
  state.calls.delete(call.callId);
  return call.phase === "claiming"
    ? fail({ readerId, requestId, error: "key_unresolved" })
    : [];
}

function judgeForeign(
  state: EntryState,
  call: Call,
  found: {
    readonly row: Row;
    readonly record: CallRecord;
    readonly at: Moment;
  },
): readonly EntryEffect[] {
  const { row, record, at } = found;
  const { readerId, requestId, digest } = call.request;
  if (record.digest !== digest) {
    state.calls.delete(call.callId);
    return fail({ readerId, requestId, error: "key_reused", notRun: true });
  }
  if (record.state === "released") {
    call.rowVersion = row.version;
    return retryRecord(state, call.callId);
  }
  state.calls.delete(call.callId);
  if (record.state === "answered") {
    const answer: ServiceAnswer = {
      status: record.status ?? 200,
      contentType: record.contentType ?? "application/json",
      body: record.body ?? "",
    };
    const figures = { by: record.requestId };
    const reason = "recorded_answer";
    decide(
      state,
      { kind: "finish", subject: requestId, reason, figures },
      at.wall,
    );
    return [
      count("replays", "recorded_answer"),
      { kind: "send_answer", readerId, requestId, answer, replayed: true },
    ];
  }
  const running = record.state === "dispatched" && at.wall < record.resolveBy;
  return fail({
    readerId,
    requestId,
    error: running ? "key_in_progress" : "key_unresolved",
    ...(running ? { retryAfterMs } : {}),
  });
}

function retryFailedRecord(
  state: EntryState,
  event: Event<"record_failed">,
): readonly EntryEffect[] {
  const call = state.calls.get(event.callId);
  if (call === undefined) {
    return [];
  }
  const { at } = event;
  const { readerId, requestId } = call.request;
  const timer = { kind: "retry_record", callId: call.callId } as const;
  const retry = [
    count("retries", "call_record"),
    {
      kind: "set_timer",
      timer,
      at: at.monotonic + recordBackoff(state, call),
    },
  ] as const;
  if (call.phase !== "claiming" || at.monotonic < call.claimDeadline) {
    return retry;
  }
  // The claim may still land: it is replaced by a released record.
  call.phase = "releasing";
  call.pending = { ...createRecord(call, at), state: "released" };
  return [
    ...retry,
    ...fail({
      readerId,
      requestId,
      error: "store_unavailable",
      notRun: true,
      retryAfterMs,
    }),
  ];
}

function recordBackoff(state: EntryState, call: Call): number {
  const wait = Math.min(
    maxRecordRetryMs,
    recordRetryMs * 2 ** Math.min(call.recordTries, 10),
  );
  call.recordTries += 1;
  return state.random.jitter(wait, 0.5);
}

function dispatchCall(
  state: EntryState,
  call: Call,
  at: Moment,
): readonly EntryEffect[] {
  const { request, callId } = call;
  const { readerId, requestId, service } = request;
  const vms = [...state.vms.values()].filter((vm) =>
    vm.role === "service" && vm.pool === service
  );
  const live = vms.filter((vm) =>
    vm.state === "live" && !call.tried.includes(vm.id)
  );
  const vm = live[state.random.below(Math.max(1, live.length))];
  if (vm === undefined || call.tried.length >= maxUpstreams) {
    const error = vms.length === 0 ? "unknown_service" : "no_upstream";
    const notRun = call.mayHaveRun ? "unknown" : true;
    return [
      ...fail({ readerId, requestId, error, notRun, retryAfterMs }),
      ...settleRecord(state, call, { state: "released", at }),
    ];
  }
  call.phase = "dispatched";
  call.tried.push(vm.id);
  const figures = { upstream: vm.id, live: live.length };
  const reason = "live_upstream";
  decide(
    state,
    { kind: "choose", subject: requestId, reason, figures },
    at.wall,
  );
  state.usage.add(request, "call", { amount: 1, wall: at.wall });
  const { method, path, contentType, body, key, traceParent } = request;
  return [
    count("calls", service),
    {
      kind: "call_service",
      callId,
      upstream: vm.id,
      address: vm.address,
      method,
      path,
      contentType,
      body,
      key,
      traceParent,
    },
  ];
}

function answerCall(
  state: EntryState,
  event: Event<"call_answered">,
): readonly EntryEffect[] {
  const call = state.calls.get(event.callId);
  if (call === undefined) {
    return [];
  }
  const { answer, at } = event;
  if (event.notRun && answer.status === 503) {
    return [count("retries", "not_run"), ...dispatchCall(state, call, at)];
  }
  const { readerId, requestId } = call.request;
  return [
    { kind: "send_answer", readerId, requestId, answer, replayed: false },
    ...settleRecord(state, call, {
      state: event.notRun ? "released" : "answered",
      answer,
      at,
    }),
  ];
}

function failCall(
  state: EntryState,
  event: Event<"call_failed">,
): readonly EntryEffect[] {
  const call = state.calls.get(event.callId);
  if (call === undefined) {
    return [];
  }
  const { at, reason } = event;
  const read = call.request.key === null;
  call.mayHaveRun ||= event.notRun !== true;
  if (event.notRun === true || read) {
    return [count("retries", reason), ...dispatchCall(state, call, at)];
  }
  const { readerId, requestId } = call.request;
  return [
    ...fail({ readerId, requestId, error: "upstream_lost", notRun: "unknown" }),
    ...settleRecord(state, call, { state: "unknown", at }),
  ];
}

function settleRecord(
  state: EntryState,
  call: Call,
  outcome: {
    readonly state: "answered" | "released" | "unknown";
    readonly answer?: ServiceAnswer;
    readonly at: Moment;
  },
): readonly EntryEffect[] {
  if (call.request.key === null) {
    state.calls.delete(call.callId);
    return [];
  }
  const { answer, at } = outcome;
  call.phase = outcome.state === "released" ? "releasing" : "recording";
  call.pending = {
    ...createRecord(call, at),
    state: outcome.state,
    status: answer?.status ?? null,
    contentType: answer?.contentType ?? null,
    body: answer?.body ?? null,
  };
  return [commitPending(call, call.pending)];
}
