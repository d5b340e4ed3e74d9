import { toFailure } from "@lavenderferry/errors";
import type {
  ExchangeMessage,
  ExchangeMessage__Output,
  PeerClients,
} from "@lavenderferry/protocol";
import type { Dispatch, EffectHandlers } from "@lavenderferry/runtime";
import type { DocumentEffect } from "./documents/document_effect.ts";
import type { DocumentFormat } from "./documents/document_format.ts";
import { DocumentRunner } from "./documents/document_runner.ts";
import type { ExchangeEffect } from "./exchange_effect.ts";
import type { ExchangeEvent } from "./exchange_event.ts";

/** Runs the exchange effects: sends requests to peers and answers theirs. */
export class ExchangeRunner {
  /** Handlers of the exchange effects. */
  readonly handlers: EffectHandlers<ExchangeEvent, ExchangeEffect>;
  readonly documents: DocumentRunner;
  readonly #clients: PeerClients;
  readonly #pendingReplies = new Map<
    number,
    (message: ExchangeMessage) => void
  >();
  #nextReplyId = 1;

  /** With a format of documents, these are transferred by calls of their own. */
  constructor(clients: PeerClients, format: DocumentFormat | null = null) {
    this.#clients = clients;
    this.documents = new DocumentRunner(clients, format);
    this.handlers = { ...this.#exchangeHandlers, ...this.documents.handlers };
  }

  readonly #exchangeHandlers: EffectHandlers<
    ExchangeEvent,
    Exclude<ExchangeEffect, DocumentEffect>
  > = {
    send_exchange: ({ peer, address, message }, dispatch) => {
      this.#send(address, message).then(
        (reply) => dispatch({ kind: "exchange_replied", peer, reply }),
        (error: unknown) => {
          const { kind } = toFailure(error);
          dispatch({ kind: "exchange_failed", peer, error: kind });
        },
      );
    },
    answer_exchange: ({ replyId, message }) => {
      this.#pendingReplies.get(replyId)?.(message);
      this.#pendingReplies.delete(replyId);
    },
  };

  /** Rejects also if the address, which peers state, cannot be used. */
  async #send(
    address: string,
    message: ExchangeMessage,
  ): Promise<ExchangeMessage__Output> {
    return await this.#clients.at(address).exchange(message);
  }

  /** Dispatches a peer's request to the reducer and resolves to its reply. */
  receive(
    message: ExchangeMessage__Output,
    dispatch: Dispatch<ExchangeEvent>,
  ): Promise<ExchangeMessage> {
    const replyId = this.#nextReplyId++;
    return new Promise((resolve) => {
      this.#pendingReplies.set(replyId, resolve);
      dispatch({ kind: "exchange_received", replyId, message });
    });
  }
}
