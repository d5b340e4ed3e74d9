import type { ErrorKind } from "@lavenderferry/errors";
import type { ExchangeMessage__Output } from "@lavenderferry/protocol";
import type { DocumentEvent } from "./documents/document_event.ts";

/** Requests, replies and failures of the exchange with peers. */
export type ExchangeEvent =
  | DocumentEvent
  | {
    /** The process accepts connections at these addresses. */
    readonly kind: "listening";
    readonly address: string;
    readonly peers: string;
  }
  | {
    readonly kind: "exchange_received";
    readonly replyId: number;
    readonly message: ExchangeMessage__Output;
  }
  | {
    readonly kind: "exchange_replied";
    readonly peer: string;
    readonly reply: ExchangeMessage__Output;
  }
  | {
    readonly kind: "exchange_failed";
    readonly peer: string;
    readonly error: ErrorKind;
  };
