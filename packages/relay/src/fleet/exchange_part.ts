import type { ExchangeEvent } from "@lavenderferry/fleet";
import { createExchangeHandlers, sendDue } from "@lavenderferry/fleet";
import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import { pumpBacklogs } from "../requests/place_request.ts";
import type { RelayState } from "../state.ts";
import { repeatsOf } from "../state.ts";
import { count, decide } from "../util/effects.ts";
import { learnRouting, leaveUpstream } from "./source_part.ts";

/** Swaps news with peers and applies what they tell. */
export const exchangePart: EventHandlers<
  RelayState,
  ExchangeEvent,
  RelayEffect
> = createExchangeHandlers({
  applyNews,
  failed: (error) => [count("retries", error)],
});

/** States the process's own work and sends what is due. */
export function exchange(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  const pools = [...state.pools.values()];
  const shares = pools.flatMap(({ dispatcher }) =>
    dispatcher.shares()
      .filter(({ running, tokens }) => running > 0 || tokens > 0)
  );
  state.fleet.setShares(shares, at);
  for (const { dispatcher } of pools) {
    state.fleet.setLengths(dispatcher.changedLengths(), at);
  }
  return [...applyNews(state, at), ...sendDue(state, at)];
}

/** Applies what the fleet learned. */
export function applyNews(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  const news = state.fleet.takeNews();
  const effects: RelayEffect[] = [];
  for (const { upstream, reason } of news.marks) {
    effects.push(...leaveUpstream(state, upstream, { reason, at }));
  }
  for (const { id, state: reason, epoch } of news.members) {
    const figures = { epoch, upstream: false };
    const kind = "member";
    effects.push(decide(state, { kind, subject: id, reason, figures }, at));
  }
  if (news.members.length > 0) {
    const burst = repeatsOf(state);
    for (const { repeats } of state.pools.values()) {
      repeats.limit(burst);
    }
  }
  for (const { dispatcher } of state.pools.values()) {
    for (const [peer, shares] of news.shares) {
      dispatcher.peerChanged(peer, shares, at);
    }
    for (const [peer, sketches] of news.lengths) {
      dispatcher.learnLengths(peer, sketches);
    }
  }
  for (const routing of news.configurations) {
    effects.push(...learnRouting(state, routing, at));
  }
  return news.marks.length > 0 || news.shares.size > 0
    ? [...effects, ...pumpBacklogs(state, at)]
    : effects;
}
