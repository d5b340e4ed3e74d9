import type {
  DocumentPart,
  DocumentRequest__Output,
} from "@lavenderferry/protocol";
import type { Versioned } from "../fleet_updates.ts";
import type { DocumentEffect } from "./document_effect.ts";
import type { DocumentEvent } from "./document_event.ts";
import type { DocumentContent, EncodedDocument } from "./encoded_document.ts";
import { maxPartBytes, narrowBytesPerMs, partTimeoutMs } from "./limits.ts";

/** Peers to which a process sends documents at a time. */
export const maxReceivers = 4;

/** Shortest and longest time after which a refused peer may ask again. */
const minRetryMs = 20;
const maxRetryMs = 250;

/** Versions that are kept as bases of differences. */
const maxVersions = 8;

/** Characters of all kept versions, of which the two newest always are kept. */
const maxKeptLength = 4_194_304;
const minVersions = 2;

interface Entry {
  readonly document: Versioned;
  encoded: EncodedDocument | null;
  /** Compressed document by the version that the difference refers to. */
  readonly contents: Map<number, DocumentContent>;
  /** Versions of bases for which contents are being made. */
  readonly pending: Set<number>;
}

interface Receiver {
  /** Monotonic milliseconds at which its place is free again. */
  until: number;
  /** What it was answered last; no answer is repeated while it has its place. */
  lastAnswer: string;
}

interface Waiting {
  readonly replyId: number;
  readonly request: DocumentRequest__Output;
  readonly version: number;
  readonly baseVersion: number;
}

/** The latest documents of a process, and their transfer to peers. */
export class DocumentArchive {
  readonly #self: string;
  readonly #entries = new Map<number, Entry>();
  readonly #receivers = new Map<string, Receiver>();
  #waiting: Waiting[] = [];
  #newest: Entry | null = null;
  #sentBytes = 0;

  constructor(self: string) {
    this.#self = self;
  }

  /** Bytes of documents that were sent to peers. */
  get sentBytes(): number {
    return this.#sentBytes;
  }

  /** The newest document, if it is encoded. */
  get newest(): EncodedDocument | null {
    return this.#newest?.encoded ?? null;
  }

  /** Returns an encoded version, if it is kept. */
  encodedOf(version: number): EncodedDocument | null {
    return this.#entries.get(version)?.encoded ?? null;
  }

  /** Adds a newer document; that of a peer is already encoded. */
  add(
    document: Versioned,
    received: {
      readonly encoded: EncodedDocument;
      readonly content: DocumentContent;
    } | null,
  ): readonly DocumentEffect[] {
    const content = received?.content;
    const entry: Entry = {
      document,
      encoded: received?.encoded ?? null,
      contents: new Map(
        content === undefined ? [] : [[content.baseVersion, content]],
      ),
      pending: new Set(),
    };
    this.#entries.set(document.version, entry);
    this.#newest = entry;
    this.#evict();
    if (entry.encoded !== null) {
      return [];
    }
    const kind = "encode_document";
    const lines = { encoded: null, baseVersion: null, base: null, whole: null };
    return [{ kind, document, ...lines }];
  }

  /** Keeps an encoded document and answers the requests that wait for it. */
  encoded(
    { encoded, baseVersion, content }: Extract<
      DocumentEvent,
      { kind: "document_encoded" }
    >,
    now: number,
  ): readonly DocumentEffect[] {
    const entry = this.#entries.get(encoded.version);
    if (entry === undefined) {
      return this.#refuseWaiting(encoded.version);
    }
    entry.encoded = encoded;
    if (baseVersion !== null && content !== null) {
      entry.pending.delete(baseVersion);
      entry.contents.set(baseVersion, content);
      // The difference from some bases is no shorter than the whole.
      entry.contents.set(content.baseVersion, content);
    }
    const waiting = this.#waiting;
    this.#waiting = [];
    this.#evict();
    return waiting.flatMap((item) => this.#answer(item, now));
  }

  /**
   * Refuses the requests that wait for a document that could not be encoded, and
   * frees their places. The next request tries again.
   */
  notEncoded(
    { version, baseVersion }: Extract<
      DocumentEvent,
      { kind: "document_not_encoded" }
    >,
  ): readonly DocumentEffect[] {
    if (baseVersion === null) {
      return [];
    }
    this.#entries.get(version)?.pending.delete(baseVersion);
    const isRefused = (item: Waiting) =>
      item.version === version && item.baseVersion === baseVersion;
    const refused = this.#waiting.filter(isRefused);
    this.#waiting = this.#waiting.filter((item) => !isRefused(item));
    this.#evict();
    return refused.map(({ replyId, request }) => {
      this.#receivers.delete(request.sender);
      return this.#refuse(replyId, maxRetryMs);
    });
  }

  /** Answers a request for a part, at once or when the document is compressed. */
  request(
    replyId: number,
    request: DocumentRequest__Output,
    now: number,
  ): readonly DocumentEffect[] {
    const { sender, version, offset, baseVersion, baseDigest } = request;
    const entry = offset === 0 ? this.#newest : this.#entries.get(version);
    if (entry === undefined || entry === null) {
      return [this.#refuse(replyId, 0)];
    }
    if (entry.document.version < version) {
      return [this.#refuse(replyId, 0)];
    }
    const retryMs = this.#waitMs(sender, now);
    if (retryMs > 0) {
      return [this.#refuse(replyId, retryMs)];
    }
    const base = this.#entries.get(baseVersion)?.encoded;
    const knowsBase = base?.digest === baseDigest;
    const waiting = {
      replyId,
      request,
      version: entry.document.version,
      baseVersion: knowsBase ? baseVersion : 0,
    };
    const key = [waiting.version, waiting.baseVersion, offset].join("/");
    const receiver = this.#receivers.get(sender);
    if (receiver?.lastAnswer === key && receiver.until > now) {
      return [this.#refuse(replyId, maxRetryMs)];
    }
    this.#receivers.set(sender, {
      until: now + partTimeoutMs,
      lastAnswer: key,
    });
    return this.#answer(waiting, now);
  }

  #answer(waiting: Waiting, now: number): readonly DocumentEffect[] {
    const { version, baseVersion, request, replyId } = waiting;
    const entry = this.#entries.get(version);
    if (entry === undefined) {
      return [this.#refuse(replyId, 0)];
    }
    const { contents, pending, document, encoded } = entry;
    const content = contents.get(baseVersion);
    if (content !== undefined && encoded !== null) {
      return [this.#send(waiting, { content, digest: encoded.digest }, now)];
    }
    this.#waiting.push(waiting);
    if (pending.has(baseVersion)) {
      return [];
    }
    pending.add(baseVersion);
    const base = this.encodedOf(baseVersion);
    const { baseDigest } = request;
    return [{
      kind: "encode_document",
      document,
      encoded,
      baseVersion,
      base: base?.digest === baseDigest ? base : null,
      whole: contents.get(0) ?? null,
    }];
  }

  #send(
    { replyId, version, request }: Waiting,
    { content, digest }: {
      readonly content: DocumentContent;
      readonly digest: string;
    },
    now: number,
  ): DocumentEffect {
    const { sender, offset } = request;
    const totalBytes = content.bytes.length;
    const part = content.bytes.subarray(offset, offset + maxPartBytes);
    const receiver = this.#receivers.get(sender);
    if (receiver !== undefined && offset + part.length >= totalBytes) {
      // All receivers together share the link of this process.
      const transferMs = maxReceivers * part.length / narrowBytesPerMs;
      receiver.until = now + transferMs;
    }
    this.#sentBytes += part.length;
    return {
      kind: "answer_document",
      replyId,
      part: {
        sender: this.#self,
        version,
        content: part,
        totalBytes,
        digest,
        baseVersion: content.baseVersion,
      },
    };
  }

  /** Returns how long a peer has to wait for a place; 0 if it has one. */
  #waitMs(peer: string, now: number): number {
    for (const [id, { until }] of this.#receivers) {
      if (until <= now) {
        this.#receivers.delete(id);
      }
    }
    if (this.#receivers.has(peer) || this.#receivers.size < maxReceivers) {
      return 0;
    }
    const freeAt = Math.min(
      ...[...this.#receivers.values()].map(({ until }) => until),
    );
    return Math.min(maxRetryMs, Math.max(minRetryMs, freeAt - now));
  }

  #refuse(replyId: number, retryAfterMs: number): DocumentEffect {
    const part: DocumentPart = { sender: this.#self, version: 0, retryAfterMs };
    return { kind: "answer_document", replyId, part };
  }

  #refuseWaiting(version: number): readonly DocumentEffect[] {
    const refused = this.#waiting.filter((item) => item.version === version);
    this.#waiting = this.#waiting.filter((item) => item.version !== version);
    return refused.map(({ replyId }) => this.#refuse(replyId, minRetryMs));
  }

  /** Removes the oldest versions above the limits; requests for them wait on. */
  #evict(): void {
    const versions = [...this.#entries.keys()].sort((a, b) => b - a);
    let length = 0;
    for (const [position, version] of versions.entries()) {
      const entry = this.#entries.get(version);
      length += entry?.encoded?.length ?? 0;
      const isOver = length > maxKeptLength || position >= maxVersions;
      if (position >= minVersions && isOver && entry?.pending.size === 0) {
        this.#entries.delete(version);
      }
    }
  }
}
