import { createHash } from "node:crypto";
import type { Versioned } from "../fleet_updates.ts";
import { describeDifference, readStep } from "./document_difference.ts";
import type { DocumentFormat } from "./document_format.ts";
import { divideDocument, joinDocument, listNames } from "./document_format.ts";
import type { EncodedDocument } from "./encoded_document.ts";
import type { Steps } from "@lavenderferry/runtime";
import { handleInSteps } from "@lavenderferry/runtime";

/** Most lines of a document, differences included. */
const maxDocumentLines = 262_144;

/** A document, or its difference from a base, before it is compressed. */
export interface DocumentText {
  /** Version that the difference refers to; 0 for a whole document. */
  readonly baseVersion: number;
  readonly text: string;
}

/** A document that was decoded. */
export interface DecodedDocument {
  readonly document: Versioned;
  readonly encoded: EncodedDocument;
}

/** Encodes and decodes documents for peers, in short steps. */
export class DocumentCodec {
  readonly #format: DocumentFormat;

  constructor(format: DocumentFormat) {
    this.#format = format;
  }

  /** Encodes a document of this process. */
  *encode(document: Versioned): Steps<EncodedDocument> {
    const { head, items } = divideDocument(document, this.#format);
    const lines = [JSON.stringify(head)];
    yield* handleInSteps(items, (item) => {
      lines.push(JSON.stringify(item));
    });
    const { version } = document;
    return { version, lines, items, ...yield* digestOf(lines) };
  }

  /** Writes a document, or its difference from a base if that is shorter. */
  *write(
    { lines }: EncodedDocument,
    base: EncodedDocument | null,
  ): Steps<DocumentText> {
    const difference = base === null
      ? null
      : yield* describeDifference(base.lines, lines);
    return base === null || difference === null
      ? { baseVersion: 0, text: lines.join("\n") }
      : { baseVersion: base.version, text: difference.join("\n") };
  }

  /**
   * Reads what a peer has written; throws if it is invalid or has another digest.
   * A text without a base is a whole document.
   */
  *read(
    text: string,
    { digest, base }: {
      readonly digest: string;
      readonly base: EncodedDocument | null;
    },
  ): Steps<DecodedDocument> {
    const { lines, known } = yield* readLines(text, base);
    const read = yield* digestOf(lines);
    if (read.digest !== digest) {
      throw new Error("The digest of the document differs");
    }
    const head = JSON.parse(lines[0] ?? "") as object;
    const names = listNames(head, this.#format);
    const baseNames = this.#listNamesOf(base);
    const items: object[] = [];
    yield* handleInSteps(lines.slice(1).entries(), ([index, line]) => {
      const list = String(names.next().value);
      const baseIndex = known.get(index) ?? -1;
      const item = baseNames[baseIndex] === list
        ? base?.items[baseIndex] ?? null
        : this.#format.readItem(list, JSON.parse(line));
      if (item === null) {
        throw new TypeError(`An item of "${list}" is invalid`);
      }
      items.push(item);
    });
    const document = joinDocument({ head, items }, this.#format);
    if (document === null) {
      throw new TypeError("The document is invalid");
    }
    const { version } = document as Versioned;
    return {
      document: document as Versioned,
      encoded: { version, lines, items, ...read },
    };
  }

  /** Returns the name of the list of each item of a base. */
  #listNamesOf(base: EncodedDocument | null): readonly string[] {
    return base === null ? [] : [
      ...listNames(JSON.parse(base.lines[0] ?? "") as object, this.#format),
    ];
  }
}

/** Yields the lines of a text. */
function* linesOf(text: string): Generator<string> {
  let start = 0;
  for (;;) {
    const end = text.indexOf("\n", start);
    if (end === -1) {
      yield text.slice(start);
      return;
    }
    yield text.slice(start, end);
    start = end + 1;
  }
}

/** Returns a document's lines, and for known items their indexes in the base. */
function* readLines(
  text: string,
  base: EncodedDocument | null,
): Steps<{
  readonly lines: readonly string[];
  readonly known: ReadonlyMap<number, number>;
}> {
  const lines: string[] = [];
  const known = new Map<number, number>();
  yield* handleInSteps(linesOf(text), (line) => {
    const step = base === null
      ? { kind: "added", line } as const
      : readStep(line, base.lines.length);
    if (step.kind === "added") {
      lines.push(step.line);
    } else if (base !== null) {
      for (let offset = 0; offset < step.count; offset++) {
        const index = step.start + offset;
        known.set(lines.length - 1, index - 1);
        lines.push(base.lines[index] ?? "");
      }
    }
    if (lines.length > maxDocumentLines) {
      throw new RangeError("The document has too many lines");
    }
  });
  return { lines, known };
}

function* digestOf(
  lines: readonly string[],
): Steps<Pick<EncodedDocument, "digest" | "length">> {
  const hash = createHash("sha256");
  let length = 0;
  yield* handleInSteps(lines, (line) => {
    hash.update(line);
    hash.update("\n");
    length += line.length;
  });
  return { digest: hash.digest("base64"), length };
}
