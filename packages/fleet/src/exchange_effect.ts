import type { ExchangeMessage } from "@lavenderferry/protocol";
import type { DocumentEffect } from "./documents/document_effect.ts";

/** Effects by which a reducer sends requests and replies to peers. */
export type ExchangeEffect =
  | DocumentEffect
  | {
    readonly kind: "send_exchange";
    readonly peer: string;
    readonly address: string;
    readonly message: ExchangeMessage;
  }
  | {
    readonly kind: "answer_exchange";
    readonly replyId: number;
    readonly message: ExchangeMessage;
  };
