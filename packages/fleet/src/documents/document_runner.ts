import { promisify } from "node:util";
import { deflateRaw, inflateRaw } from "node:zlib";
import { toFailure } from "@lavenderferry/errors";
import type {
  DocumentPart,
  DocumentRequest__Output,
  PeerClients,
} from "@lavenderferry/protocol";
import type { Dispatch, EffectHandlers } from "@lavenderferry/runtime";
import { createLogger } from "@lavenderferry/runtime";
import { DocumentCodec } from "./document_codec.ts";
import type { DocumentEffect } from "./document_effect.ts";
import type { DocumentEvent } from "./document_event.ts";
import type { DocumentFormat } from "./document_format.ts";
import { maxDocumentBytes } from "./limits.ts";
import { runInTurns } from "@lavenderferry/runtime";

const deflate = promisify(deflateRaw);
const inflate = promisify(inflateRaw);

const log = createLogger("fleet");

type Effect<Kind extends DocumentEffect["kind"]> = Extract<
  DocumentEffect,
  { kind: Kind }
>;

/** Runs the effects of the transfer of documents. */
export class DocumentRunner {
  readonly #clients: PeerClients;
  readonly #codec: DocumentCodec | null;
  readonly #pendingReplies = new Map<number, (part: DocumentPart) => void>();
  #nextReplyId = 1;

  /** A process without a format neither reads nor sends documents. */
  constructor(clients: PeerClients, format: DocumentFormat | null) {
    this.#clients = clients;
    this.#codec = format === null ? null : new DocumentCodec(format);
  }

  /** Handlers of the effects. */
  readonly handlers: EffectHandlers<DocumentEvent, DocumentEffect> = {
    request_document: (effect, dispatch) => {
      const { fetchId } = effect;
      this.#request(effect).then(
        (part) => dispatch({ kind: "document_part_received", fetchId, part }),
        (error: unknown) => {
          const { kind: failure } = toFailure(error);
          const kind = "document_request_failed";
          dispatch({ kind, fetchId, error: failure });
        },
      );
    },
    answer_document: ({ replyId, part }) => {
      this.#pendingReplies.get(replyId)?.(part);
      this.#pendingReplies.delete(replyId);
    },
    encode_document: (effect, dispatch) => {
      const { document, baseVersion } = effect;
      this.#encode(effect).then(dispatch, (error: unknown) => {
        log("A document could not be encoded", { error: String(error) });
        const { version } = document;
        dispatch({ kind: "document_not_encoded", version, baseVersion });
      });
    },
    decode_document: (effect, dispatch) => {
      const { fetchId } = effect;
      this.#decode(effect).then(dispatch, (error: unknown) => {
        log("A document of a peer was rejected", { error: String(error) });
        dispatch({ kind: "document_rejected", fetchId });
      });
    },
  };

  /** Dispatches a peer's request to the reducer and resolves to its part. */
  receive(
    request: DocumentRequest__Output,
    dispatch: Dispatch<DocumentEvent>,
  ): Promise<DocumentPart> {
    const replyId = this.#nextReplyId++;
    return new Promise((resolve) => {
      this.#pendingReplies.set(replyId, resolve);
      dispatch({ kind: "document_requested", replyId, request });
    });
  }

  /** Rejects also if the address, which peers state, cannot be used. */
  async #request({ address, request, deadline }: Effect<"request_document">) {
    return await this.#clients.at(address).readDocument(request, deadline);
  }

  /** Compresses on another thread. */
  async #encode(
    { document, encoded: known, baseVersion, base, whole }: Effect<
      "encode_document"
    >,
  ): Promise<DocumentEvent> {
    const codec = this.#codecOf();
    const encoded = known ?? await runInTurns(codec.encode(document));
    const kind = "document_encoded";
    if (baseVersion === null) {
      return { kind, encoded, baseVersion, content: null };
    }
    const written = await runInTurns(codec.write(encoded, base));
    if (whole !== null && written.baseVersion === 0) {
      return { kind, encoded, baseVersion, content: whole };
    }
    const bytes = await deflate(written.text);
    const content = { baseVersion: written.baseVersion, bytes };
    return { kind, encoded, baseVersion, content };
  }

  /** Decompresses on another thread, up to a limit. */
  async #decode(
    { fetchId, content, digest, base }: Effect<"decode_document">,
  ): Promise<DocumentEvent> {
    const limits = { maxOutputLength: maxDocumentBytes };
    const text = (await inflate(content, limits)).toString();
    const steps = this.#codecOf().read(text, { digest, base });
    const decoded = await runInTurns(steps);
    return { kind: "document_decoded", fetchId, ...decoded };
  }

  #codecOf(): DocumentCodec {
    if (this.#codec === null) {
      throw new TypeError("This process transfers no documents");
    }
    return this.#codec;
  }
}
