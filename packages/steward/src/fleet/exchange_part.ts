import type { ExchangeEvent } from "@lavenderferry/fleet";
import { createExchangeHandlers, sendDue } from "@lavenderferry/fleet";
import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import type { StewardState } from "../state.ts";

/** Peers that must state a configuration while the table is down. */
const peersToTrust = 2;

/** Swaps news with peers and applies what they tell. */
export const exchangePart: EventHandlers<
  StewardState,
  ExchangeEvent,
  StewardEffect
> = createExchangeHandlers({
  applyNews,
});

/** Tells the peers that this process is leaving. */
export function leaveFleet(
  state: StewardState,
  at: Moment,
): readonly StewardEffect[] {
  state.fleet.leave(at);
  return sendDue(state, at);
}

/** Applies what the fleet learned. */
export function applyNews(state: StewardState): readonly StewardEffect[] {
  const { configurations, members } = state.fleet.takeNews();
  for (const configuration of configurations) {
    state.timeline.learn(configuration);
  }
  const trusted = state.fleet.configurationAnswers >= peersToTrust;
  if (trusted && state.timeline.latest.version > 0) {
    state.configurationKnown = true;
  }
  return members
    .filter((member) => member.state !== "live")
    .map(({ id, state: phase }) => ({
      kind: "log",
      part: "fleet",
      sentence: "A member changed",
      fields: { id, state: phase },
    }));
}
