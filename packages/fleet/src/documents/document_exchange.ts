import type { Random } from "@lavenderferry/runtime";
import type { Versioned } from "../fleet_updates.ts";
import { DocumentArchive } from "./document_archive.ts";
import type { DocumentEffect } from "./document_effect.ts";
import type { DocumentEvent } from "./document_event.ts";
import type { FetchOutcome, FetchView } from "./document_fetch.ts";
import { DocumentFetch } from "./document_fetch.ts";
import type { DocumentContent, EncodedDocument } from "./encoded_document.ts";

/** Returns what the process knows of the document and its sources. */
export type ViewSource = (
  now: number,
) => Pick<FetchView, "heldVersion" | "sources" | "readsStore">;

/** An event of the transfer of documents, by its kind. */
type EventOf<Kind extends DocumentEvent["kind"]> = Extract<
  DocumentEvent,
  { kind: Kind }
>;

/**
 * The transfer of documents between processes: reads newer ones from one peer at
 * a time and sends them to a few peers at a time. It collects the effects that
 * the process must run.
 */
export class DocumentExchange {
  readonly #archive: DocumentArchive;
  readonly #fetch: DocumentFetch;
  readonly #viewAt: ViewSource;
  #effects: DocumentEffect[] = [];
  #received: {
    readonly encoded: EncodedDocument;
    readonly content: DocumentContent;
  } | null = null;

  constructor(self: string, random: Random, viewAt: ViewSource) {
    this.#archive = new DocumentArchive(self);
    this.#fetch = new DocumentFetch(self, random);
    this.#viewAt = viewAt;
  }

  /** Bytes of documents that were received and sent since the start. */
  get bytes(): { readonly received: number; readonly sent: number } {
    const { receivedBytes: received } = this.#fetch;
    return { received, sent: this.#archive.sentBytes };
  }

  /** Returns how fetches ended since the last call. */
  takeOutcomes(): readonly FetchOutcome[] {
    return this.#fetch.takeOutcomes();
  }

  /** Adds a document that is in force here. */
  add(document: Versioned): void {
    const received = this.#received?.encoded.version === document.version
      ? this.#received
      : null;
    this.#received = null;
    this.#effects.push(...this.#archive.add(document, received));
  }

  /** Answers a request of a peer. */
  requested(
    { replyId, request }: EventOf<"document_requested">,
    now: number,
  ): void {
    this.#effects.push(...this.#archive.request(replyId, request, now));
  }

  /** Takes a part of the fetched document. */
  partReceived(
    { fetchId, part }: EventOf<"document_part_received">,
    now: number,
  ): void {
    this.#effects.push(...this.#fetch.partReceived(fetchId, part, now));
  }

  /** Records that a peer did not send a part. */
  requestFailed(
    { fetchId }: EventOf<"document_request_failed">,
    now: number,
  ): void {
    this.#fetch.failed(fetchId, now);
  }

  /**
   * Returns a decoded document, unless it was given up or is of another version
   * than its parts said.
   */
  decoded(
    { fetchId, document, encoded }: EventOf<"document_decoded">,
    now: number,
  ): Versioned | null {
    const content = this.#fetch.completed(fetchId, document.version);
    if (content === null) {
      this.#fetch.rejected(fetchId, now);
      return null;
    }
    this.#received = { encoded, content };
    return document;
  }

  /** Records that a document does not decode. */
  rejected({ fetchId }: EventOf<"document_rejected">, now: number): void {
    this.#fetch.rejected(fetchId, now);
  }

  /** Keeps the encoded form of a document. */
  encoded(event: EventOf<"document_encoded">, now: number): void {
    this.#effects.push(...this.#archive.encoded(event, now));
  }

  /** Refuses the requests that wait for a document that cannot be encoded. */
  notEncoded(event: EventOf<"document_not_encoded">): void {
    this.#effects.push(...this.#archive.notEncoded(event));
  }

  /** Starts what is due and returns the effects to run. */
  takeEffects(now: number): readonly DocumentEffect[] {
    const started = this.#fetch.step(this.#view(now));
    const effects = [...this.#effects, ...started];
    this.#effects = [];
    return effects;
  }

  /** Returns when a fetch is due next, in monotonic milliseconds. */
  nextDueAt(now: number): number {
    const view = this.#view(now);
    return view.sources.length === 0 ? Infinity : this.#fetch.nextDueAt(view);
  }

  #view(now: number): FetchView {
    const view = this.#viewAt(now);
    const base = this.#archive.encodedOf(view.heldVersion);
    return { ...view, now, base };
  }
}
