import type { ErrorKind } from "@lavenderferry/errors";
import type {
  DocumentPart__Output,
  DocumentRequest__Output,
} from "@lavenderferry/protocol";
import type { Versioned } from "../fleet_updates.ts";
import type { DocumentContent, EncodedDocument } from "./encoded_document.ts";

/** Requests for documents, and the results of the effects of their transfer. */
export type DocumentEvent =
  | {
    /** A peer asks for a part of the document. */
    readonly kind: "document_requested";
    readonly replyId: number;
    readonly request: DocumentRequest__Output;
  }
  | {
    readonly kind: "document_part_received";
    readonly fetchId: number;
    readonly part: DocumentPart__Output;
  }
  | {
    readonly kind: "document_request_failed";
    readonly fetchId: number;
    readonly error: ErrorKind;
  }
  | {
    readonly kind: "document_decoded";
    readonly fetchId: number;
    readonly document: Versioned;
    readonly encoded: EncodedDocument;
  }
  | {
    /** It does not decompress, is invalid or has another digest. */
    readonly kind: "document_rejected";
    readonly fetchId: number;
  }
  | {
    readonly kind: "document_encoded";
    readonly encoded: EncodedDocument;
    /** Version of the base that was asked for; `null`: lines only. */
    readonly baseVersion: number | null;
    readonly content: DocumentContent | null;
  }
  | {
    /** It could not be encoded, or not be compressed. */
    readonly kind: "document_not_encoded";
    readonly version: number;
    /** Version of the base that was asked for; `null`: lines only. */
    readonly baseVersion: number | null;
  };
