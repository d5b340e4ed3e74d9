import type { EngineChecked } from "@lavenderferry/fleet";
import { sendDueExchanges } from "@lavenderferry/fleet";
import type { SuspectBlock } from "@lavenderferry/policy";
import { isEarlyLoss } from "@lavenderferry/policy";
import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import { dropRequest, releaseBacklogs } from "../requests/place_request.ts";
import type { RelayedRequest } from "../requests/relayed_request.ts";
import type { RelayState } from "../state.ts";
import { recordDecision } from "../util/effects.ts";

/** Event handlers that find the prompts under which engines end. */
export const quarantinePart: EventHandlers<
  RelayState,
  EngineChecked,
  RelayEffect
> = {
  engine_checked: (state, event) => handleEngineCheck(state, event),
};

/** Whether a block of a request's prompt is not known to be answerable. */
export function hasUnansweredBlock(
  { suspects }: RelayState,
  { sharedBlocks }: RelayedRequest,
  at: Moment,
): boolean {
  return sharedBlocks.some((block) => !suspects.wasAnswered(block, at));
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
  const { upstream, sharedBlocks: blocks, resumption, firstEventAt } = request;
  const { earlyLosses, closeReasons } = state;
  earlyLosses.recordConnection(upstream, at);
  const address = state.upstreams.get(upstream)?.address;
  if (
    blocks.length === 0 || resumption !== null ||
    !isEarlyLoss(firstEventAt, at) || closeReasons.has(upstream) ||
    address === undefined
  ) {
    return [];
  }
  const checkAt = earlyLosses.record(upstream, { address, blocks }, at);
  if (checkAt === null) {
    return [];
  }
  const timer = { kind: "check_engine", upstream } as const;
  return [{ kind: "set_timer", timer, at: checkAt }];
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
    case "network_fault":
      return [
        recordDecision(state, {
          kind: "member",
          subject: upstream,
          reason: "network_fault",
          figures: finding.figures,
        }, at),
      ];
  }
}

/** Merges a peer's records of suspect blocks. */
export function mergeSuspects(
  state: RelayState,
  records: readonly SuspectBlock[],
  at: Moment,
): readonly RelayEffect[] {
  const changed = records.flatMap((record) => state.suspects.merge(record, at));
  return publishSuspects(state, changed, at);
}

/** Records a complete answer, which clears the blocks of its prompt. */
export function recordAnsweredBlocks(
  state: RelayState,
  { sharedBlocks }: RelayedRequest,
  at: Moment,
): readonly RelayEffect[] {
  const changed = state.suspects.recordAnswer(sharedBlocks, at);
  return publishSuspects(state, changed, at);
}

/** Removes records that are too old, here and from what is sent to peers. */
export function removeExpiredSuspects(state: RelayState, at: Moment): void {
  for (const block of state.suspects.takeRemoved(at)) {
    state.fleet.removeSuspect(block);
  }
}

function handleEngineCheck(
  state: RelayState,
  { upstream, ended, at }: Timed<EngineChecked>,
): readonly RelayEffect[] {
  const loss = state.earlyLosses.take(upstream);
  if (loss === undefined || !ended) {
    return [];
  }
  const blocks = [...new Set(loss.prompts.flat())];
  const changed = state.suspects.recordEnd(upstream, blocks, at);
  const figures = { prompts: loss.prompts.length, blocks: blocks.length };
  return [
    recordDecision(state, {
      kind: "member",
      subject: upstream,
      reason: "ended_early",
      figures,
    }, at),
    ...publishSuspects(state, changed, at),
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
  const effects: RelayEffect[] = [];
  for (const record of changed) {
    state.fleet.setSuspect(record, at);
    const { block, clearances, engines } = record;
    effects.push(recordDecision(state, {
      kind: "configure",
      subject: block,
      reason: "suspect_block",
      figures: { clearances, engines: engines.length },
    }, at));
  }
  for (const request of [...state.requests.values()]) {
    effects.push(...dropQuarantined(state, request, at));
  }
  return [
    ...effects,
    ...releaseBacklogs(state, at),
    ...sendDueExchanges(state, at),
  ];
}

/** Drops a request under quarantine whose answer has not begun. */
function dropQuarantined(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): readonly RelayEffect[] {
  const quarantine = state.suspects.findQuarantine(request.sharedBlocks, at);
  if (quarantine === undefined || request.phase === "streaming") {
    return [];
  }
  return dropRequest(state, request, {
    reason: "prompt_quarantined",
    neverRan: "prompt_quarantined",
    mayHaveRun: "upstream_lost",
    outcome: "cancelled",
    retryAfterMs: quarantine.deadline - at.monotonic,
    at,
  });
}
