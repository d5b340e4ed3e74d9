import type { ExchangeEvent } from "@lavenderferry/fleet";
import { createExchangeHandlers, sendDue } from "@lavenderferry/fleet";
import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import { pumpBacklog } from "../generations/generation_start.ts";
import type { EntryState } from "../state.ts";
import { decide } from "../util/decide.ts";
import { count } from "../util/effects.ts";

/** Peers that must state a configuration while the table is down. */
const peersToTrust = 2;

/** Swaps news with peers and applies what they tell. */
export const exchangePart: EventHandlers<
  EntryState,
  ExchangeEvent,
  EntryEffect
> = createExchangeHandlers({
  applyNews,
  failed: (error) => [count("retries", error)],
});

/** States the process's own figures and sends what is due. */
export function exchange(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  state.fleet.setShares(state.dispatcher.shares(), at);
  state.fleet.setLengths(state.dispatcher.changedLengths(), at);
  const sends = sendDue(state, at);
  return [...applyNews(state, at), ...sends];
}

/** Marks an engine that takes no new work, here and at every peer. */
export function markEngine(
  state: EntryState,
  engine: string,
  { reason, at }: { readonly reason: string; readonly at: Moment },
): readonly EntryEffect[] {
  state.fleet.mark(engine, { reason, at });
  return [...applyNews(state, at), ...sendDue(state, at)];
}

/** Tells the peers that this process takes no new work. */
export function leaveFleet(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  state.fleet.leave(at);
  return sendDue(state, at);
}

/** Applies what the fleet learned. */
export function applyNews(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  const news = state.fleet.takeNews();
  for (const { upstream, reason } of news.marks) {
    state.dispatcher.removeEngine(upstream);
    note(state, upstream, { reason, wall: at.wall });
  }
  for (const { id, state: reason } of news.members) {
    note(state, id, { reason, wall: at.wall });
  }
  for (const [peer, shares] of news.shares) {
    state.dispatcher.peerChanged(peer, shares, at);
  }
  for (const [peer, sketches] of news.lengths) {
    state.dispatcher.learnLengths(peer, sketches);
  }
  for (const configuration of news.configurations) {
    state.timeline.learn(configuration);
  }
  learnFromPeers(state);
  return news.marks.length > 0 ? pumpBacklog(state, at) : [];
}

/** Several peers that agree stand in for a table that is down. */
function learnFromPeers(state: EntryState): void {
  const { fleet, timeline } = state;
  const trusted = fleet.configurationAnswers >= peersToTrust;
  if (trusted && timeline.latest.version > 0) {
    state.configurationKnown = true;
  }
}

function note(
  state: EntryState,
  subject: string,
  { reason, wall }: { readonly reason: string; readonly wall: number },
): void {
  decide(state, { kind: "member", subject, reason, figures: {} }, wall);
}
