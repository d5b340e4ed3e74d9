import type { EngineChecked } from "@lavenderferry/fleet";
import { sendDueExchanges } from "@lavenderferry/fleet";
import type { Quarantine, SuspectBlock } from "@lavenderferry/policy";
import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { Generation } from "../generations/generation.ts";
import { cancelAtEngine } from "../generations/generation_recovery.ts";
import {
  failGeneration,
  releaseBacklog,
  removeGeneration,
} from "../generations/generation_start.ts";
import type { EntryState } from "../state.ts";
import { failRequest } from "../util/effects.ts";
import { recordDecision } from "../util/record_decision.ts";

/** Limit on the characters of block ids in a decision. */
const maxLoggedBlockChars = 200;

/** Event handlers that find the requests under which upstreams end. */
export const quarantinePart: EventHandlers<
  EntryState,
  EngineChecked,
  EntryEffect
> = {
  engine_checked: handleEngineCheck,
};

/** Refuses a request that is under quarantine; `null`: it is not. */
export function refuseQuarantined(
  state: EntryState,
  { readerId, requestId, suspectIds }: {
    readonly readerId: string;
    readonly requestId: string;
    readonly suspectIds: readonly string[];
  },
  at: Moment,
): readonly EntryEffect[] | null {
  const quarantine = state.suspects.findQuarantine(suspectIds, at);
  if (quarantine === undefined) {
    return null;
  }
  const retryAfterMs = quarantine.deadline - at.monotonic;
  const blocks = quarantine.blocks.join(",").slice(0, maxLoggedBlockChars);
  recordDecision(state, {
    kind: "refuse",
    subject: requestId,
    reason: "request_quarantined",
    figures: { blocks, retryAfterMs: Math.round(retryAfterMs) },
  }, at.wall);
  return failRequest({
    readerId,
    requestId,
    error: "request_quarantined",
    notRun: true,
    retryAfterMs,
  });
}

/** Checks the engines that were lost early, unless the network is at fault. */
export function checkLostEngines(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  return state.earlyLosses.due(at).flatMap((upstream) => {
    const finding = state.earlyLosses.assess(upstream);
    switch (finding?.kind) {
      case undefined:
        return [];
      case "check_engine":
        return [{ kind: "check_engine", upstream, address: finding.address }];
      case "network_fault":
        recordDecision(state, {
          kind: "member",
          subject: upstream,
          reason: "network_fault",
          figures: finding.figures,
        }, at.wall);
        return finding.address === null
          ? []
          : [{ kind: "check_engine", upstream, address: finding.address }];
    }
  });
}

/** Merges a peer's records of suspect blocks. */
export function mergeSuspects(
  state: EntryState,
  records: readonly SuspectBlock[],
  at: Moment,
): readonly EntryEffect[] {
  const changed = records.flatMap((record) => state.suspects.merge(record, at));
  return publishSuspects(state, changed, at);
}

/** Records a complete answer, which clears what its request is suspected by. */
export function recordAnswered(
  state: EntryState,
  suspectIds: readonly string[],
  at: Moment,
): readonly EntryEffect[] {
  const changed = state.suspects.recordAnswer(suspectIds, at);
  return publishSuspects(state, changed, at);
}

/** Removes records that are too old, here and from what is sent to peers. */
export function removeExpiredSuspects(state: EntryState, at: Moment): void {
  for (const block of state.suspects.takeRemoved(at)) {
    state.fleet.removeSuspect(block);
  }
}

function handleEngineCheck(
  state: EntryState,
  { upstream, outcome, at }: Timed<EngineChecked>,
): readonly EntryEffect[] {
  const loss = state.earlyLosses.take(upstream);
  if (loss === undefined || outcome !== "ended") {
    return [];
  }
  const { prompts } = loss;
  const changed = state.suspects.recordEnd(upstream, prompts, at);
  recordDecision(state, {
    kind: "member",
    subject: upstream,
    reason: "ended_early",
    figures: { prompts: prompts.length, blocks: changed.length },
  }, at.wall);
  return publishSuspects(state, changed, at);
}

/** Sends changed records to peers and puts the quarantines into effect. */
function publishSuspects(
  state: EntryState,
  changed: readonly SuspectBlock[],
  at: Moment,
): readonly EntryEffect[] {
  if (changed.length === 0) {
    return [];
  }
  // Records that gave way make room for the changed ones.
  removeExpiredSuspects(state, at);
  for (const record of changed) {
    state.fleet.setSuspect(record, at);
    const { block, clearances, ends } = record;
    recordDecision(state, {
      kind: "configure",
      subject: block,
      reason: "suspect_block",
      figures: { clearances, ends: ends.length },
    }, at.wall);
  }
  const effects: EntryEffect[] = [];
  for (const generation of [...state.generations.values()]) {
    const { suspectIds, nextIndex } = generation;
    const quarantine = state.suspects.findQuarantine(suspectIds, at);
    if (quarantine !== undefined && nextIndex === 0) {
      effects.push(...dropGeneration(state, generation, { quarantine, at }));
    }
  }
  return [
    ...effects,
    ...releaseBacklog(state, at),
    ...sendDueExchanges(state, at),
  ];
}

/** Ends a generation under quarantine that has no token. */
function dropGeneration(
  state: EntryState,
  generation: Generation,
  { quarantine, at }: { readonly quarantine: Quarantine; readonly at: Moment },
): readonly EntryEffect[] {
  const { stream, phase, restarts, attemptId } = generation;
  const { generationId, requestId: subject, upstream } = stream;
  const isWaiting = phase === "waiting";
  const reason = "request_quarantined";
  const figures = { phase, restarts, upstream };
  recordDecision(
    state,
    { kind: "drop", subject, reason, figures },
    at.wall,
  );
  removeGeneration(state, generation);
  const retryAfterMs = quarantine.deadline - at.monotonic;
  const failure = isWaiting && restarts === 0
    ? { error: reason, notRun: true, retryAfterMs } as const
    : { error: "upstream_lost", notRun: "unknown" } as const;
  const effects = failGeneration(generation, failure);
  if (isWaiting) {
    return effects;
  }
  state.dispatcher.ended(generationId, "cancelled", at);
  return [
    ...effects,
    { kind: "drop_attempt", attemptId },
    ...cancelAtEngine(state, generation),
  ];
}
