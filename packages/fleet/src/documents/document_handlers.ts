import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { FleetNode } from "../fleet_node.ts";
import type { Versioned } from "../fleet_updates.ts";
import type { DocumentEffect } from "./document_effect.ts";
import type { DocumentEvent } from "./document_event.ts";

/** The part of a reducer's state that the handlers need. */
export interface DocumentState {
  readonly fleet: Pick<
    FleetNode<Versioned>,
    "documents" | "applyDocument" | "bytesReceived"
  >;
}

/** How a program goes on after an event of the transfer of documents. */
export interface DocumentHandlerOptions<State, Effect> {
  /** Applies a document that was put in force, and starts what is due. */
  readonly proceed: (state: State, at: Moment) => readonly Effect[];
}

/** Creates the handlers of a reducer's events of the transfer of documents. */
export function createDocumentHandlers<
  State extends DocumentState,
  Effect extends { readonly kind: string },
>(
  { proceed }: DocumentHandlerOptions<State, Effect>,
): EventHandlers<State, DocumentEvent, Effect | DocumentEffect> {
  return {
    document_requested: (state, event) => {
      const { documents } = state.fleet;
      if (documents === null) {
        const { replyId } = event;
        return [{ kind: "answer_document", replyId, part: { version: 0 } }];
      }
      state.fleet.bytesReceived(event.request.sender, event.at);
      documents.requested(event, event.at.monotonic);
      return proceed(state, event.at);
    },
    document_part_received: (state, event) => {
      state.fleet.bytesReceived(event.part.sender, event.at);
      state.fleet.documents?.partReceived(event, event.at.monotonic);
      return proceed(state, event.at);
    },
    document_request_failed: (state, event) => {
      state.fleet.documents?.requestFailed(event, event.at.monotonic);
      return proceed(state, event.at);
    },
    document_decoded: (state, event) => {
      const { documents } = state.fleet;
      const document = documents?.decoded(event, event.at.monotonic) ?? null;
      if (document !== null) {
        state.fleet.applyDocument(document);
      }
      return proceed(state, event.at);
    },
    document_rejected: (state, event) => {
      state.fleet.documents?.rejected(event, event.at.monotonic);
      return proceed(state, event.at);
    },
    document_encoded: (state, event) => {
      state.fleet.documents?.encoded(event, event.at.monotonic);
      return proceed(state, event.at);
    },
    document_not_encoded: (state, event) => {
      state.fleet.documents?.notEncoded(event);
      return proceed(state, event.at);
    },
  };
}
