import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { ExchangeEffect } from "./exchange_effect.ts";
import type { ExchangeEvent } from "./exchange_event.ts";
import type { FleetNode, Versioned } from "./fleet_node.ts";

/** State of a reducer that takes part in the fleet. */
export interface FleetState {
  readonly fleet: Pick<
    FleetNode<Versioned>,
    "listen" | "receive" | "replied" | "failed" | "poll"
  >;
}

/** What a program does with news from its peers. */
export interface ExchangeOptions<State, Effect> {
  /** Applies what the fleet learned. */
  readonly applyNews: (state: State, at: Moment) => readonly Effect[];
  /** Returns the effects of a failed exchange beside the news. */
  readonly failed?: (error: ErrorOf) => readonly Effect[];
}

type ErrorOf = Extract<ExchangeEvent, { kind: "exchange_failed" }>["error"];

/** Creates the part of a reducer that swaps news with peers. */
export function createExchangeHandlers<
  State extends FleetState,
  Effect extends { readonly kind: string },
>(
  { applyNews, failed }: ExchangeOptions<State, Effect>,
): EventHandlers<State, ExchangeEvent, Effect | ExchangeEffect> {
  return {
    listening: (state, { address, peers }) => {
      state.fleet.listen(address, peers);
      return [];
    },
    exchange_received: (state, { replyId, message, at }) => {
      const reply = state.fleet.receive(message, at);
      return [
        { kind: "answer_exchange", replyId, message: reply },
        ...applyNews(state, at),
        ...sendDue(state, at),
      ];
    },
    exchange_replied: (state, { peer, reply, at }) => {
      state.fleet.replied(peer, reply, at);
      return [...applyNews(state, at), ...sendDue(state, at)];
    },
    exchange_failed: (state, { peer, error, at }) => {
      state.fleet.failed(peer, at);
      return [...failed?.(error) ?? [], ...applyNews(state, at)];
    },
  };
}

/** Sends the messages that are due. */
export function sendDue(
  { fleet }: FleetState,
  at: Moment,
): readonly ExchangeEffect[] {
  return fleet.poll(at).map((send) => ({ kind: "send_exchange", ...send }));
}
