import type { ExchangeEvent } from "@lavenderferry/fleet";
import { createExchangeHandlers, sendDueExchanges } from "@lavenderferry/fleet";
import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import { releaseBacklog } from "../generations/generation_start.ts";
import {
  checkLostEngines,
  mergeSuspects,
  removeExpiredSuspects,
} from "../quarantine/quarantine_part.ts";
import type { EntryState } from "../state.ts";
import { recordDecision } from "../util/record_decision.ts";
import { count } from "../util/effects.ts";

/**
 * Peers that must report no newer version before a configuration received from
 * a peer is accepted.
 */
const minConfirmingPeers = 2;

/** Handles the exchange with peers and applies the updates received. */
export const exchangePart: EventHandlers<
  EntryState,
  ExchangeEvent,
  EntryEffect
> = createExchangeHandlers({
  applyUpdates,
  onFailure: (error) => [count("retries", error)],
});

/**
 * Publishes the entry's load and output lengths and sends due messages. Keeps
 * the suspect blocks up to date.
 */
export function exchangeWithPeers(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  removeExpiredSuspects(state, at);
  const checks = checkLostEngines(state, at);
  state.fleet.setShares(state.dispatcher.shares(), at);
  state.fleet.setLengths(state.dispatcher.takeChangedLengths(), at);
  const sends = sendDueExchanges(state, at);
  return [...checks, ...applyUpdates(state, at), ...sends];
}

/** Marks an engine as taking no new work and sends the mark to the peers. */
export function markEngine(
  state: EntryState,
  engine: string,
  { reason, at }: { readonly reason: string; readonly at: Moment },
): readonly EntryEffect[] {
  state.fleet.mark(engine, { reason, at });
  return [...applyUpdates(state, at), ...sendDueExchanges(state, at)];
}

/** Announces to the peers that this process takes no new work. */
export function leaveFleet(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  state.fleet.leave(at);
  return sendDueExchanges(state, at);
}

/** Applies the updates that the fleet node has collected from the peers. */
export function applyUpdates(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  const updates = state.fleet.takeUpdates();
  for (const { upstream, reason } of updates.marks) {
    state.dispatcher.removeEngine(upstream);
    recordMemberDecision(state, upstream, { reason, wall: at.wall });
  }
  for (const { id, state: reason } of updates.members) {
    recordMemberDecision(state, id, { reason, wall: at.wall });
  }
  for (const [peer, shares] of updates.shares) {
    state.dispatcher.peerChanged(peer, shares, at);
  }
  for (const [peer, sketches] of updates.lengths) {
    state.dispatcher.learnLengths(peer, sketches);
  }
  for (const configuration of updates.configurations) {
    state.timeline.add(configuration);
  }
  acceptPeerConfiguration(state);
  return [
    ...mergeSuspects(state, updates.suspects, at),
    ...updates.marks.length > 0 ? releaseBacklog(state, at) : [],
  ];
}

/**
 * Treats the latest configuration received as known if enough peers report no
 * newer version, so that an entry can start while the table is unavailable.
 */
function acceptPeerConfiguration(state: EntryState): void {
  const { fleet, timeline } = state;
  const enoughPeers = fleet.configurationConfirmations >= minConfirmingPeers;
  if (enoughPeers && timeline.latest.version > 0) {
    state.configurationKnown = true;
  }
}

function recordMemberDecision(
  state: EntryState,
  subject: string,
  { reason, wall }: { readonly reason: string; readonly wall: number },
): void {
  recordDecision(state, { kind: "member", subject, reason, figures: {} }, wall);
}
