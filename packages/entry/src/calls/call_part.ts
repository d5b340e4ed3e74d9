import { readFinalStatus } from "@lavenderferry/errors";
import type { Json, Row } from "@lavenderferry/platform";
import { requestBlockOf } from "@lavenderferry/policy";
import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import { z } from "zod";
import type { EntryEffect } from "../effects.ts";
import {
  recordAnswered,
  refuseQuarantined,
} from "../quarantine/quarantine_part.ts";
import { recordCallLoss } from "../quarantine/record_loss.ts";
import type { EntryState } from "../state.ts";
import { nextId } from "../state.ts";
import { recordDecision } from "../util/record_decision.ts";
import { hashTexts } from "../util/hash_texts.ts";
import { count, failRequest } from "../util/effects.ts";
import { isReady } from "../util/is_ready.ts";
import { refuseDraining } from "../util/refuse_draining.ts";
import type { Call, CallRecord } from "./call.ts";
import type { CallEvent, CallRequested, ServiceAnswer } from "./call_event.ts";

const claimTimeoutMs = 3_000;
const resolveTimeoutMs = 30_000;
const recordRetentionMs = 7 * 24 * 3_600_000;
const initialBackoffMs = 200;
const maxBackoffMs = 5_000;
const maxUpstreamsPerCall = 3;
const retryAfterMs = 1_000;

const recordSchema = z.object({
  state: z.enum(["dispatched", "answered", "released", "unknown"]),
  digest: z.string(),
  nonce: z.string(),
  requestId: z.string(),
  resolveBy: z.number(),
  expiresAt: z.number(),
  status: z.number().refine((status) => readFinalStatus(status) !== null)
    .nullable(),
  contentType: z.string().nullable(),
  body: z.string().nullable(),
});

type Event<Kind extends CallEvent["kind"]> = Timed<
  Extract<CallEvent, { kind: Kind }>
>;

/**
 * Routes service calls. A call with an idempotency key runs at most once: it
 * is sent only after its record was committed, and it is sent again only when
 * the previous attempt is known not to have run.
 */
export const callPart: EventHandlers<EntryState, CallEvent, EntryEffect> = {
  call_requested: acceptCall,
  call_answered: handleAnswer,
  call_failed: handleCallFailure,
  record_committed: handleCommit,
  record_failed: handleCommitFailure,
};

/** Repeats the commit of a call's pending record, if there is one. */
export function retryCommit(
  state: EntryState,
  callId: string,
): readonly EntryEffect[] {
  const call = state.calls.get(callId);
  if (call === undefined || call.pendingRecord === null) {
    return [];
  }
  return [commitPending(call, call.pendingRecord)];
}

/** Returns the key of the row that holds a call's record. */
export function recordKey(request: CallRequested): string {
  return `call/${request.workspace}/${request.service}/${request.key}`;
}

function acceptCall(
  state: EntryState,
  event: Timed<CallRequested>,
): readonly EntryEffect[] {
  const { readerId, requestId, at } = event;
  if (state.stopping) {
    return refuseDraining(state, event, at);
  }
  if (!isReady(state, at.wall)) {
    return failRequest({
      readerId,
      requestId,
      error: "not_ready",
      notRun: true,
    });
  }
  const { classes } = state.timeline.at(at.wall).statement;
  if (classes[event.workClass] === undefined) {
    return failRequest({
      readerId,
      requestId,
      error: "unknown_class",
      notRun: true,
    });
  }
  const { workspace, service, digest } = event;
  const suspectId = requestBlockOf(hashTexts([workspace, service, digest]));
  const quarantined = refuseQuarantined(
    state,
    { readerId, requestId, suspectIds: [suspectId] },
    at,
  );
  if (quarantined !== null) {
    return quarantined;
  }
  const call: Call = {
    request: event,
    callId: nextId(state),
    suspectId,
    sentAt: 0,
    phase: "claiming",
    rowVersion: null,
    pendingRecord: null,
    mayHaveRun: false,
    triedUpstreams: [],
    claimDeadline: at.monotonic + claimTimeoutMs,
    failedCommits: 0,
  };
  state.calls.set(call.callId, call);
  if (event.key === null) {
    return dispatchCall(state, call, at);
  }
  const record = createRecord(call, at);
  call.pendingRecord = record;
  return [commitPending(call, record)];
}

function createRecord(call: Call, at: Moment): CallRecord {
  return {
    state: "dispatched",
    digest: call.request.digest,
    nonce: call.callId,
    requestId: call.request.requestId,
    resolveBy: at.wall + resolveTimeoutMs,
    expiresAt: at.wall + recordRetentionMs,
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

function handleCommit(
  state: EntryState,
  event: Event<"record_committed">,
): readonly EntryEffect[] {
  const call = state.calls.get(event.callId);
  if (call === undefined) {
    return [];
  }
  call.failedCommits = 0;
  if (event.result.kind === "conflict") {
    const row = event.result.rows[0] ?? null;
    return resolveConflict(state, call, { row, at: event.at });
  }
  call.rowVersion = event.result.versions[0] ?? null;
  return continueCall(state, call, event.at);
}

/** Continues a call whose pending record is stored. */
function continueCall(
  state: EntryState,
  call: Call,
  at: Moment,
): readonly EntryEffect[] {
  call.pendingRecord = null;
  switch (call.phase) {
    case "claiming":
      return dispatchCall(state, call, at);
    case "dispatched":
      return [];
    case "withdrawn":
      return commitOutcome(state, call, { state: "released", at });
    case "recording":
    case "releasing":
      state.calls.delete(call.callId);
      return [];
  }
}

/**
 * Continues a call whose commit met another row version: the row may hold the
 * commit of an earlier attempt or the record of another call.
 */
function resolveConflict(
  state: EntryState,
  call: Call,
  current: { readonly row: Row | null; readonly at: Moment },
): readonly EntryEffect[] {
  const { row, at } = current;
  if (row === null) {
    call.rowVersion = null;
    return retryCommit(state, call.callId);
  }
  const parsed = recordSchema.safeParse(row.value);
  if (!parsed.success) {
    return rejectUnreadableRow(state, call);
  }
  const record = parsed.data;
  if (
    record.nonce === call.callId && record.state === call.pendingRecord?.state
  ) {
    call.rowVersion = row.version;
    return continueCall(state, call, at);
  }
  if (call.phase !== "claiming") {
    if (record.nonce === call.callId) {
      call.rowVersion = row.version;
      return retryCommit(state, call.callId);
    }
    state.calls.delete(call.callId);
    return [];
  }
  return resolveForeignRecord(state, call, { row, record, at });
}

/**
 * Ends a call whose row does not match the schema. The row may belong to a call
 * that ran, so nothing is sent.
 */
function rejectUnreadableRow(
  state: EntryState,
  call: Call,
): readonly EntryEffect[] {
  const { readerId, requestId } = call.request;
  state.calls.delete(call.callId);
  return call.phase === "claiming"
    ? failRequest({ readerId, requestId, error: "key_unresolved" })
    : [];
}

/** Answers a claim whose key another call has recorded. */
function resolveForeignRecord(
  state: EntryState,
  call: Call,
  current: {
    readonly row: Row;
    readonly record: CallRecord;
    readonly at: Moment;
  },
): readonly EntryEffect[] {
  const { row, record, at } = current;
  const { readerId, requestId, digest } = call.request;
  if (record.digest !== digest) {
    state.calls.delete(call.callId);
    return failRequest({
      readerId,
      requestId,
      error: "key_reused",
      notRun: true,
    });
  }
  if (record.state === "released") {
    call.rowVersion = row.version;
    return retryCommit(state, call.callId);
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
    recordDecision(
      state,
      { kind: "finish", subject: requestId, reason, figures },
      at.wall,
    );
    return [
      count("replays", "recorded_answer"),
      { kind: "send_answer", readerId, requestId, answer, replayed: true },
    ];
  }
  const inProgress = record.state === "dispatched" &&
    at.wall < record.resolveBy;
  return failRequest({
    readerId,
    requestId,
    error: inProgress ? "key_in_progress" : "key_unresolved",
    ...(inProgress ? { retryAfterMs } : {}),
  });
}

function handleCommitFailure(
  state: EntryState,
  event: Event<"record_failed">,
): readonly EntryEffect[] {
  const call = state.calls.get(event.callId);
  if (call === undefined) {
    return [];
  }
  const { at } = event;
  const { readerId, requestId } = call.request;
  const timer = { kind: "retry_commit", callId: call.callId } as const;
  const retry = [
    count("retries", "call_record"),
    {
      kind: "set_timer",
      timer,
      at: at.monotonic + nextBackoffMs(state, call),
    },
  ] as const;
  if (call.phase !== "claiming" || at.monotonic < call.claimDeadline) {
    return retry;
  }
  // A claim may still be committed late; a released record replaces it.
  call.phase = "releasing";
  call.pendingRecord = { ...createRecord(call, at), state: "released" };
  return [
    ...retry,
    ...failRequest({
      readerId,
      requestId,
      error: "store_unavailable",
      notRun: true,
      retryAfterMs,
    }),
  ];
}

/** Counts a failed commit and returns the jittered delay before the next. */
function nextBackoffMs(state: EntryState, call: Call): number {
  const backoffMs = Math.min(
    maxBackoffMs,
    initialBackoffMs * 2 ** Math.min(call.failedCommits, 10),
  );
  call.failedCommits += 1;
  return state.random.jitter(backoffMs, 0.5);
}

/** Sends a call to a live VM of its service that it was not sent to before. */
function dispatchCall(
  state: EntryState,
  call: Call,
  at: Moment,
): readonly EntryEffect[] {
  const { request, callId } = call;
  const { readerId, requestId, service } = request;
  const serviceVms = [...state.vms.values()].filter((vm) =>
    vm.role === "service" && vm.pool === service
  );
  const liveVms = serviceVms.filter((vm) =>
    vm.state === "live" && !call.triedUpstreams.includes(vm.id)
  );
  const vm = liveVms[state.random.integerBelow(Math.max(1, liveVms.length))];
  if (vm === undefined || call.triedUpstreams.length >= maxUpstreamsPerCall) {
    const error = serviceVms.length === 0 ? "unknown_service" : "no_upstream";
    const notRun = call.mayHaveRun ? "unknown" : true;
    return [
      ...failRequest({ readerId, requestId, error, notRun, retryAfterMs }),
      ...commitOutcome(state, call, { state: "released", at }),
    ];
  }
  call.phase = "dispatched";
  call.sentAt = at.monotonic;
  call.triedUpstreams.push(vm.id);
  const figures = { upstream: vm.id, live: liveVms.length };
  const reason = "live_upstream";
  recordDecision(
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

/** Returns the call unless its reader was answered without an outcome. */
function findDispatched(state: EntryState, callId: string): Call | undefined {
  const call = state.calls.get(callId);
  return call?.phase === "dispatched" ? call : undefined;
}

function handleAnswer(
  state: EntryState,
  event: Event<"call_answered">,
): readonly EntryEffect[] {
  const call = findDispatched(state, event.callId);
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
    ...recordAnswered(state, event.notRun ? [] : [call.suspectId], at),
    ...commitOutcome(state, call, {
      state: event.notRun ? "released" : "answered",
      answer,
      at,
    }),
  ];
}

function handleCallFailure(
  state: EntryState,
  event: Event<"call_failed">,
): readonly EntryEffect[] {
  const call = findDispatched(state, event.callId);
  if (call === undefined) {
    return [];
  }
  const { at, reason } = event;
  const isRead = call.request.key === null;
  call.mayHaveRun ||= event.notRun !== true;
  if (event.notRun !== true) {
    recordCallLoss(state, event.upstream, { call, at });
  }
  const mayEndServices = event.notRun !== true &&
    state.suspects.hasEnds([call.suspectId]);
  if (!mayEndServices && (event.notRun === true || isRead)) {
    return [count("retries", reason), ...dispatchCall(state, call, at)];
  }
  const { readerId, requestId } = call.request;
  return [
    ...failRequest({
      readerId,
      requestId,
      error: "upstream_lost",
      notRun: "unknown",
    }),
    ...commitOutcome(state, call, { state: "unknown", at }),
  ];
}

/**
 * Ends a call without a key. For a call with a key, commits the outcome to its
 * record; the call ends when that commit succeeds.
 */
export function commitOutcome(
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
  call.pendingRecord = {
    ...createRecord(call, at),
    state: outcome.state,
    status: answer?.status ?? null,
    contentType: answer?.contentType ?? null,
    body: answer?.body ?? null,
  };
  return [commitPending(call, call.pendingRecord)];
}
