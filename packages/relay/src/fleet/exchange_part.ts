import type { ExchangeEvent } from "@lavenderferry/fleet";
import { createExchangeHandlers, sendDueExchanges } from "@lavenderferry/fleet";
import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import {
  mergeSuspects,
  removeExpiredSuspects,
} from "../quarantine/quarantine_part.ts";
import type { RelayEffect } from "../relay_effect.ts";
import { releaseBacklogs } from "../requests/place_request.ts";
import { receiveConfirmed } from "../requests/request_part.ts";
import {
  isRoutingConfirmed,
  routingAgeMs,
} from "../requests/unconfirmed_request.ts";
import type { RelayState } from "../state.ts";
import { computeRetryBurst } from "../state.ts";
import { count, recordDecision } from "../util/effects.ts";
import { mergeLimits, removeExpiredLimits } from "../limits/limit_part.ts";
import { applyEvacuations } from "./apply_evacuations.ts";
import { reviewUpstream } from "./review_upstream.ts";
import { applyRouting, applyUpstreams, retainUnlisted } from "./source_part.ts";
import { recordDocuments } from "./document_decisions.ts";
import {
  divideColdLimits,
  removeExpiredCold,
} from "../upstreams/cold_upstreams.ts";
import { reviewReads } from "./store_reads.ts";

/** Handles exchanges with peers and applies the updates they contain. */
export const exchangePart: EventHandlers<
  RelayState,
  ExchangeEvent,
  RelayEffect
> = createExchangeHandlers({
  applyUpdates,
  onFailure: (error) => [count("retries", error)],
});

/**
 * Publishes this process's load, applies received updates and sends the
 * exchanges that are due.
 */
export function exchangeWithPeers(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  const expiryEffects = [
    ...removeExpiredSuspects(state, at),
    ...removeExpiredLimits(state, at),
    ...removeExpiredCold(state, at),
  ];
  const pools = [...state.pools.values()];
  const shares = pools.flatMap(({ dispatcher }) =>
    dispatcher.shares()
      .filter(({ running, tokens }) => running > 0 || tokens > 0)
  );
  state.fleet.setShares(shares, at);
  for (const { dispatcher } of pools) {
    state.fleet.setLengths(dispatcher.takeChangedLengths(), at);
  }
  return [
    ...expiryEffects,
    ...applyUpdates(state, at),
    ...reviewRoutingAge(state, at),
    ...sendDueExchanges(state, at),
  ];
}

/**
 * Applies the updates that were received from peers since the last call:
 * marks, members, load, output lengths and routings.
 */
export function applyUpdates(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  const updates = state.fleet.takeUpdates();
  const effects: RelayEffect[] = [...recordDocuments(state, at)];
  for (const { upstream } of updates.marks) {
    effects.push(...reviewUpstream(state, upstream, at));
  }
  for (const { id, state: reason, epoch } of updates.members) {
    const figures = { epoch, upstream: false };
    const kind = "member";
    effects.push(
      recordDecision(state, { kind, subject: id, reason, figures }, at),
    );
  }
  effects.push(...mergeSuspects(state, updates.suspects, at));
  effects.push(...mergeLimits(state, updates.limits, at));
  if (updates.members.length > 0) {
    const burst = computeRetryBurst(state);
    for (const { retryBudget } of state.pools.values()) {
      retryBudget.setBurst(burst);
    }
    const members = state.fleet.membership.all();
    state.requestLimits.setMembers(
      members.filter((member) => member.state !== "gone").map(({ id }) => id),
      at,
    );
    divideColdLimits(state, at);
    effects.push(...reviewReads(state, at));
  }
  for (const { dispatcher } of state.pools.values()) {
    for (const [peer, shares] of updates.shares) {
      dispatcher.peerChanged(peer, shares, at);
    }
    for (const [peer, sketches] of updates.lengths) {
      dispatcher.learnLengths(peer, sketches);
    }
  }
  if (updates.evacuationsChanged) {
    effects.push(...applyEvacuations(state, at));
  }
  for (const routing of updates.configurations) {
    effects.push(...applyRouting(state, routing, at));
  }
  if (updates.upstreams !== null) {
    const { retentionMs, ...list } = updates.upstreams;
    retainUnlisted(state, at.monotonic + retentionMs);
    effects.push(...applyUpstreams(state, list, at));
  }
  if (updates.storeEra > Math.max(state.storeEra ?? 0, state.announcedEra)) {
    state.announcedEra = updates.storeEra;
    // The store's answer tells whether the peer is right.
    effects.push({ kind: "read_suspects" });
  }
  // Peers may have confirmed the routing.
  effects.push(...receiveConfirmed(state, at));
  return updates.marks.length > 0 || updates.shares.size > 0
    ? [...effects, ...releaseBacklogs(state, at)]
    : effects;
}

/** Records that the routing has become too old, or is confirmed again. */
function reviewRoutingAge(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  const isConfirmed = isRoutingConfirmed(state, at);
  const { routeTable } = state;
  if (routeTable === null || isConfirmed === state.routingIsConfirmed) {
    return [];
  }
  state.routingIsConfirmed = isConfirmed;
  return [
    recordDecision(state, {
      kind: "configure",
      subject: "routing",
      reason: isConfirmed ? "confirmed" : "unconfirmed",
      figures: {
        version: routeTable.routing.version,
        ageMs: routingAgeMs(state, at),
      },
    }, at),
  ];
}
