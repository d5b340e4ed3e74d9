import type { ExchangeEvent } from "@lavenderferry/fleet";
import { createExchangeHandlers, sendDueExchanges } from "@lavenderferry/fleet";
import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import type { StewardState } from "../state.ts";

/** Peers that must confirm the configuration if the table was not read. */
const minConfirmingPeers = 2;

/** Exchanges updates with peers and applies those received. */
export const exchangePart: EventHandlers<
  StewardState,
  ExchangeEvent,
  StewardEffect
> = createExchangeHandlers({
  applyUpdates,
});

/** Marks this process as leaving and sends the mark to its peers. */
export function leaveFleet(
  state: StewardState,
  at: Moment,
): readonly StewardEffect[] {
  state.fleet.leave(at);
  return sendDueExchanges(state, at);
}

/** Applies the updates received from peers since the last call. */
export function applyUpdates(state: StewardState): readonly StewardEffect[] {
  const { configurations, members } = state.fleet.takeUpdates();
  for (const configuration of configurations) {
    state.timeline.add(configuration);
  }
  const enoughPeers =
    state.fleet.configurationConfirmations >= minConfirmingPeers;
  if (enoughPeers && state.timeline.latest.version > 0) {
    state.configurationKnown = true;
  }
  return members
    .filter((member) => member.state !== "live")
    .map(({ id, state: memberState }) => ({
      kind: "log",
      part: "fleet",
      sentence: "Member state changed",
      fields: { id, state: memberState },
    }));
}
