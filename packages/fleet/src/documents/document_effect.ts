import type { DocumentPart, DocumentRequest } from "@lavenderferry/protocol";
import type { Versioned } from "../fleet_updates.ts";
import type {
  DocumentContent,
  EncodedDocument,
  ReceivedDocument,
} from "./encoded_document.ts";

/** Effects by which documents are transferred between processes. */
export type DocumentEffect =
  | {
    /** Asks a peer for the next part of a document. */
    readonly kind: "request_document";
    readonly fetchId: number;
    readonly peer: string;
    readonly address: string;
    readonly request: DocumentRequest;
    /** Monotonic milliseconds at which the request is given up. */
    readonly deadline: number;
  }
  | {
    readonly kind: "answer_document";
    readonly replyId: number;
    readonly part: DocumentPart;
  }
  | {
    /** Encodes a document, unless it is, and compresses it if a base is named. */
    readonly kind: "encode_document";
    readonly document: Versioned;
    readonly encoded: EncodedDocument | null;
    /** Version to which a difference shall refer; `null`: lines only. */
    readonly baseVersion: number | null;
    readonly base: EncodedDocument | null;
    /** The compressed document as a whole, if it is known. */
    readonly whole: DocumentContent | null;
  }
  | ({
    readonly kind: "decode_document";
    readonly fetchId: number;
  } & ReceivedDocument);
