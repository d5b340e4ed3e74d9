import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import { createDocumentHandlers } from "./documents/document_handlers.ts";
import type { ExchangeEffect } from "./exchange_effect.ts";
import type { ExchangeEvent } from "./exchange_event.ts";
import type { FleetNode } from "./fleet_node.ts";
import type { Versioned } from "./fleet_updates.ts";

/** The part of a reducer's state that the exchange handlers need. */
export interface FleetState {
  readonly fleet: Pick<
    FleetNode<Versioned>,
    | "setAddresses"
    | "receive"
    | "receiveReply"
    | "requestFailed"
    | "poll"
    | "documents"
    | "applyDocument"
    | "bytesReceived"
  >;
}

/** How a program handles updates and failures of the exchange. */
export interface ExchangeHandlerOptions<State, Effect> {
  /** Applies the updates that the fleet node received. */
  readonly applyUpdates: (state: State, at: Moment) => readonly Effect[];
  /** Returns further effects of a failed exchange. */
  readonly onFailure?: (error: ExchangeError) => readonly Effect[];
}

type ExchangeError = Extract<
  ExchangeEvent,
  { kind: "exchange_failed" }
>["error"];

/** Creates the handlers of a reducer's exchange events. */
export function createExchangeHandlers<
  State extends FleetState,
  Effect extends { readonly kind: string },
>(
  { applyUpdates, onFailure }: ExchangeHandlerOptions<State, Effect>,
): EventHandlers<State, ExchangeEvent, Effect | ExchangeEffect> {
  const proceed = (state: State, at: Moment) => [
    ...applyUpdates(state, at),
    ...sendDueExchanges(state, at),
  ];
  return {
    ...createDocumentHandlers({ proceed }),
    listening: (state, { address, peers }) => {
      state.fleet.setAddresses(address, peers);
      return [];
    },
    exchange_received: (state, { replyId, message, at }) => {
      const reply = state.fleet.receive(message, at);
      return [
        { kind: "answer_exchange", replyId, message: reply },
        ...applyUpdates(state, at),
        ...sendDueExchanges(state, at),
      ];
    },
    exchange_replied: (state, { peer, reply, at }) => {
      state.fleet.receiveReply(peer, reply, at);
      return [...applyUpdates(state, at), ...sendDueExchanges(state, at)];
    },
    exchange_failed: (state, { peer, error, at }) => {
      state.fleet.requestFailed(peer, at);
      return [...onFailure?.(error) ?? [], ...applyUpdates(state, at)];
    },
  };
}

/** Returns the effects that send the messages that are due. */
export function sendDueExchanges(
  { fleet }: FleetState,
  at: Moment,
): readonly ExchangeEffect[] {
  const messages = fleet.poll(at).map((outgoing) => ({
    kind: "send_exchange" as const,
    ...outgoing,
  }));
  return [
    ...messages,
    ...fleet.documents?.takeEffects(at.monotonic) ?? [],
  ];
}
