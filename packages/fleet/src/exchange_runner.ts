import { toFailure } from "@lavenderferry/errors";
import type {
  ExchangeMessage,
  ExchangeMessage__Output,
  PeerClients,
} from "@lavenderferry/protocol";
import type { Dispatch, EffectHandlers } from "@lavenderferry/runtime";
import type { ExchangeEffect } from "./exchange_effect.ts";
import type { ExchangeEvent } from "./exchange_event.ts";

/** Carries the exchange between the reducer and the peers. */
export class ExchangeRunner {
  readonly #clients: PeerClients;
  readonly #waiting = new Map<number, (message: ExchangeMessage) => void>();
  #nextReplyId = 1;

  constructor(clients: PeerClients) {
    this.#clients = clients;
  }

  /** Handlers of the effects of the exchange. */
  readonly handlers: EffectHandlers<ExchangeEvent, ExchangeEffect> = {
    send_exchange: ({ peer, address, message }, dispatch) => {
      this.#clients.at(address).exchange(message).then(
        (reply) => dispatch({ kind: "exchange_replied", peer, reply }),
        (error: unknown) => {
          const { kind } = toFailure(error);
          dispatch({ kind: "exchange_failed", peer, error: kind });
        },
      );
    },
    answer_exchange: ({ replyId, message }) => {
      this.#waiting.get(replyId)?.(message);
      this.#waiting.delete(replyId);
    },
  };

  /** Hands a peer's message to the reducer and waits for the reply. */
  receive(
    message: ExchangeMessage__Output,
    dispatch: Dispatch<ExchangeEvent>,
  ): Promise<ExchangeMessage> {
    const replyId = this.#nextReplyId++;
    return new Promise((resolve) => {
      this.#waiting.set(replyId, resolve);
      dispatch({ kind: "exchange_received", replyId, message });
    });
  }
}
