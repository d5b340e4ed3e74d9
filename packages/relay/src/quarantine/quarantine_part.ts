import type { EngineChecked } from "@lavenderferry/fleet";
import { sendDueExchanges } from "@lavenderferry/fleet";
import type { Quarantine, SuspectBlock } from "@lavenderferry/policy";
import { isEarlyLoss, requestBlockOf } from "@lavenderferry/policy";
import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import { hashText } from "@lavenderferry/runtime";
import {
  recordReached,
  recordUnreached,
} from "../forwarding/forwarding_part.ts";
import type { RelayEffect } from "../relay_effect.ts";
import { dropRequest, releaseBacklogs } from "../requests/place_request.ts";
import type { RelayedRequest } from "../requests/relayed_request.ts";
import type { RelayState } from "../state.ts";
import { isDeparting } from "../upstreams/evacuations.ts";
import { recordDecision } from "../util/effects.ts";

/** Mean milliseconds until a changed quarantine is written to the store. */
const writeDelayMs = 200;

/** Milliseconds for which equals of a request that is tried again are refused. */
const trialMs = 5_000;

/**
 * Longest time by which the clock of another process may be ahead, in
 * milliseconds. A record from later than that would never be too old.
 */
const maxClockLeadMs = 60_000;

/** Length of the periods in which one process may try a request, in milliseconds. */
const trialPeriodMs = 1_000;

/** Event handlers that find the requests under which upstreams end. */
export const quarantinePart: EventHandlers<
  RelayState,
  EngineChecked,
  RelayEffect
> = {
  engine_checked: (state, event) => handleEngineCheck(state, event),
};

/** Returns the ids under which a request may be quarantined. */
export function suspectIdsOf(
  { sharedBlocks, fingerprint }: RelayedRequest,
): readonly string[] {
  return [...sharedBlocks, requestBlockOf(fingerprint)];
}

/**
 * Returns the quarantine that a new request falls under, if there is one. After
 * the quarantine of a request its equals are let through one at a time, by one
 * process at a time.
 */
export function findQuarantine(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): Quarantine | undefined {
  const quarantine = state.suspects.findQuarantine(suspectIdsOf(request), at);
  if (quarantine !== undefined) {
    return quarantine;
  }
  const requestBlock = requestBlockOf(request.fingerprint);
  if (!state.suspects.wasQuarantined(requestBlock)) {
    return undefined;
  }
  const isTried = [...state.requests.values()].some((other) =>
    other.fingerprint === request.fingerprint &&
    other.exchangeId !== request.exchangeId
  );
  return isTried || !isTrialTurn(state, requestBlock, at)
    ? { blocks: [requestBlock], deadline: at.monotonic + trialMs }
    : undefined;
}

/** Whether it is this process's turn to try a request after its quarantine. */
function isTrialTurn(
  { fleet, settings }: RelayState,
  requestBlock: string,
  at: Moment,
): boolean {
  const others = fleet.membership.all()
    .filter(({ id, state }) => state === "live" && id !== settings.vm)
    .map(({ id }) => id);
  const members = [...others, settings.vm].sort();
  const period = Math.floor(at.wall / trialPeriodMs);
  const turn = (hashText(requestBlock) + period) % members.length;
  return members[turn] === settings.vm;
}

/**
 * Whether a request may have ended the upstream that it was lost at: a block of
 * its prompt is not known to be answerable, or upstreams ended under its equals.
 */
export function mayEndUpstreams(
  { suspects }: RelayState,
  { sharedBlocks, fingerprint }: RelayedRequest,
  at: Moment,
): boolean {
  return sharedBlocks.some((block) => !suspects.wasAnswered(block, at)) ||
    suspects.hasEnds([requestBlockOf(fingerprint)]);
}

/**
 * Records an attempt whose connection was lost. If the engine had just begun
 * it, schedules a check whether the engine has ended.
 */
export function recordLoss(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): readonly RelayEffect[] {
  const { upstream, attemptId, requestId, fingerprint, resumption } = request;
  const requestBlock = requestBlockOf(fingerprint);
  // Others resume a generation with the prompt that it was started with.
  const blocks = resumption === null ? suspectIdsOf(request) : [requestBlock];
  const { earlyLosses } = state;
  earlyLosses.recordConnection(upstream, at);
  const address = state.upstreams.get(upstream)?.address;
  const ignored = findIgnoredReason(state, request, at);
  const decision = recordDecision(state, {
    kind: "member",
    subject: upstream,
    reason: "connection_lost",
    figures: { requestId, fingerprint, blocks: blocks.length, ignored },
  }, at);
  if (ignored !== "" || address === undefined) {
    return [decision];
  }
  if (state.suspects.wasQuarantined(requestBlock)) {
    // The check would leave time for its next attempts.
    const lost = { attemptId, blocks: [requestBlock] };
    const changed = state.suspects.recordEnd(upstream, [lost], at);
    return [decision, ...publishSuspects(state, changed, at)];
  }
  const checkAt = earlyLosses.record(
    upstream,
    { address, attemptId, blocks },
    at,
  );
  if (checkAt === null) {
    return [decision];
  }
  const timer = { kind: "check_engine", upstream } as const;
  return [decision, { kind: "set_timer", timer, at: checkAt }];
}

/** Returns why a lost attempt is not looked into; empty if it is. */
function findIgnoredReason(
  { closeReasons, upstreams }: RelayState,
  { upstream, firstEventAt }: RelayedRequest,
  at: Moment,
): string {
  if (!isEarlyLoss(firstEventAt, at)) {
    return "begun_long_ago";
  }
  return isDeparting({ closeReasons, upstreams }, upstream)
    ? "upstream_closed"
    : "";
}

/** Checks an engine after an early loss, unless the network is at fault. */
export function checkEngine(
  state: RelayState,
  upstream: string,
  at: Moment,
): readonly RelayEffect[] {
  const finding = state.earlyLosses.assess(upstream);
  switch (finding?.kind) {
    case undefined:
      return [];
    case "check_engine":
      return [{ kind: "check_engine", upstream, address: finding.address }];
    case "network_fault": {
      const decision = recordDecision(state, {
        kind: "member",
        subject: upstream,
        reason: "network_fault",
        figures: finding.figures,
      }, at);
      const { address } = finding;
      return address === null
        ? [decision]
        : [decision, { kind: "check_engine", upstream, address }];
    }
  }
}

/** Merges a peer's records of suspect blocks. */
export function mergeSuspects(
  state: RelayState,
  records: readonly SuspectBlock[],
  at: Moment,
): readonly RelayEffect[] {
  const changed = records.filter((record) => isUsable(record, at))
    .flatMap((record) => state.suspects.merge(record, at));
  return publishSuspects(state, changed, at);
}

/** Whether a record has numbers that a process can have written by now. */
function isUsable(
  { clearances, changedAt }: SuspectBlock,
  at: Moment,
): boolean {
  return Number.isSafeInteger(clearances) && Number.isSafeInteger(changedAt) &&
    changedAt <= at.wall + maxClockLeadMs;
}

/** Records a complete answer, which clears what its request is suspected by. */
export function recordAnswered(
  state: RelayState,
  ids: readonly string[],
  at: Moment,
): readonly RelayEffect[] {
  const changed = state.suspects.recordAnswer(ids, at);
  return publishSuspects(state, changed, at);
}

/** Removes records that are too old, here and from what is sent to peers. */
export function removeExpiredSuspects(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  const removed = state.suspects.takeRemoved(at);
  for (const block of removed) {
    state.fleet.removeSuspect(block);
  }
  return removed.length > 0 && isFirstLiveMember(state)
    ? stateSuspects(state, at)
    : [];
}

function handleEngineCheck(
  state: RelayState,
  { upstream, outcome, at }: Timed<EngineChecked>,
): readonly RelayEffect[] {
  const decision = recordDecision(state, {
    kind: "member",
    subject: upstream,
    reason: "engine_checked",
    figures: { outcome },
  }, at);
  switch (outcome) {
    case "ended":
      return [
        decision,
        ...recordEarlyEnd(state, upstream, at),
        ...recordUnreached(state, upstream, at),
      ];
    case "listening":
      state.earlyLosses.take(upstream);
      return [decision, ...recordReached(state, upstream, at)];
    case "silent":
      // The list of upstreams shows later whether it has ended.
      return [decision, ...recordUnreached(state, upstream, at)];
  }
}

/** Holds an engine that ended against the prompts that it had just begun. */
export function recordEarlyEnd(
  state: RelayState,
  upstream: string,
  at: Moment,
): readonly RelayEffect[] {
  const loss = state.earlyLosses.take(upstream);
  if (loss === undefined) {
    return [];
  }
  const { prompts } = loss;
  const changed = state.suspects.recordEnd(upstream, prompts, at);
  const figures = { prompts: prompts.length, blocks: changed.length };
  return [
    recordDecision(state, {
      kind: "member",
      subject: upstream,
      reason: "ended_early",
      figures,
    }, at),
    ...publishSuspects(state, changed, at),
    ...isFirstLiveMember(state) ? [] : stateSuspects(state, at),
  ];
}

/** Sends changed records to peers and puts the quarantines into effect. */
function publishSuspects(
  state: RelayState,
  changed: readonly SuspectBlock[],
  at: Moment,
): readonly RelayEffect[] {
  if (changed.length === 0) {
    return [];
  }
  // Records that gave way make room for the changed ones.
  const expiryEffects = removeExpiredSuspects(state, at);
  const effects: RelayEffect[] = [];
  for (const record of changed) {
    state.fleet.setSuspect(record, at);
    const { block, clearances, ends } = record;
    effects.push(recordDecision(state, {
      kind: "configure",
      subject: block,
      reason: "suspect_block",
      figures: { clearances, ends: ends.length },
    }, at));
  }
  for (const request of [...state.requests.values()]) {
    effects.push(...dropQuarantined(state, request, at));
  }
  return [
    ...effects,
    ...expiryEffects,
    ...isFirstLiveMember(state) ? stateSuspects(state, at) : [],
    ...releaseBacklogs(state, at),
    ...sendDueExchanges(state, at),
  ];
}

/**
 * Schedules a write of the quarantines if they have changed, so that they
 * outlive a restart of all processes.
 */
function stateSuspects(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  const blocks = state.suspects.quarantined.map(({ block }) => block)
    .sort().join(",");
  if (blocks === state.statedQuarantine) {
    return [];
  }
  state.statedQuarantine = blocks;
  const dueAt = at.monotonic + state.random.jitter(writeDelayMs, 1);
  return [{ kind: "set_timer", timer: { kind: "state_suspects" }, at: dueAt }];
}

/** Whether this process writes what all processes know. */
function isFirstLiveMember({ fleet, settings }: RelayState): boolean {
  return fleet.membership.all().every(({ id, state }) =>
    state !== "live" || id >= settings.vm
  );
}

/** Drops a request under quarantine whose answer has not begun. */
function dropQuarantined(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): readonly RelayEffect[] {
  const ids = suspectIdsOf(request);
  const quarantine = state.suspects.findQuarantine(ids, at);
  if (quarantine === undefined || request.phase === "streaming") {
    return [];
  }
  return dropRequest(state, request, {
    reason: "request_quarantined",
    errorIfNotRun: "request_quarantined",
    errorIfUnknown: "upstream_lost",
    outcome: "cancelled",
    retryAfterMs: quarantine.deadline - at.monotonic,
    at,
  });
}
