/** One version of a document as lines of JSON: the head, then each item. */
export interface EncodedDocument {
  readonly version: number;
  /** SHA-256 of the lines, in base64. */
  readonly digest: string;
  readonly lines: readonly string[];
  /** The validated items, in the order of their lines from the second one on. */
  readonly items: readonly object[];
  /** Length of all lines, in characters. */
  readonly length: number;
}

/** A document, or a difference, that was received in full. */
export interface ReceivedDocument {
  readonly content: Buffer;
  readonly digest: string;
  /** Document that the difference refers to; `null` for a whole document. */
  readonly base: EncodedDocument | null;
}

/** A compressed document, or a difference. */
export interface DocumentContent {
  /** Version that the difference refers to; 0 for a whole document. */
  readonly baseVersion: number;
  readonly bytes: Buffer;
}
