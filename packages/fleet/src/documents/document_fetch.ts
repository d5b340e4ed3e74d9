import type { DocumentPart__Output } from "@lavenderferry/protocol";
import type { Random } from "@lavenderferry/runtime";
import type { DocumentEffect } from "./document_effect.ts";
import type { DocumentContent, EncodedDocument } from "./encoded_document.ts";
import { maxContentBytes, partTimeoutMs } from "./limits.ts";

/** Milliseconds for which a peer that failed is not asked again. */
const avoidFailedMs = 1_000;

/** Milliseconds for which a peer is not asked whose document was rejected. */
const avoidRejectedMs = 10_000;

/** Milliseconds for which a process that reads the store leaves it to its read. */
const ownReadMs = 500;

/** Milliseconds to decode a document, at the largest size on a slow core. */
const decodeTimeoutMs = 5_000;

/** Peers that are remembered as avoided; a process has at most 64 links. */
const maxAvoided = 64;

/** Relative jitter of the time after which a refused request is repeated. */
const jitterShare = 0.3;

/** A peer that states a newer version than this process holds. */
export interface DocumentSource {
  readonly peer: string;
  readonly address: string;
  readonly version: number;
  /** Whether it is in the same data centre. */
  readonly isNear: boolean;
}

/** What a process knows when it chooses where to read a document. */
export interface FetchView {
  readonly now: number;
  /** Version of the document in force. */
  readonly heldVersion: number;
  /** The newest encoded document, to which differences may refer. */
  readonly base: EncodedDocument | null;
  readonly sources: readonly DocumentSource[];
  /** Whether this process reads the store itself. */
  readonly readsStore: boolean;
}

interface Fetch {
  readonly id: number;
  readonly peer: string;
  readonly address: string;
  readonly base: EncodedDocument | null;
  /** Lowest version of use until the first part, then that of the parts. */
  version: number;
  readonly parts: Buffer[];
  receivedBytes: number;
  digest: string;
  baseVersion: number;
  /** Monotonic milliseconds at which another peer is asked. */
  deadline: number;
}

/** How a fetch ended. */
export interface FetchOutcome {
  /**
   * `lost`: the peer failed or its deadline passed; `rejected`: what it sent does
   * not decompress, is invalid or has another digest.
   */
  readonly reason: "received" | "lost" | "rejected";
  readonly peer: string;
  readonly version: number;
  /** Version that a difference refers to; 0 for a whole document. */
  readonly baseVersion: number;
  readonly bytes: number;
}

/** Reads newer documents from one peer at a time. */
export class DocumentFetch {
  readonly #self: string;
  readonly #random: Random;
  /** Monotonic milliseconds until which peers are not asked, by id. */
  readonly #avoided = new Map<string, number>();
  #fetch: Fetch | null = null;
  #outcomes: FetchOutcome[] = [];
  #receivedBytes = 0;
  #nextId = 1;
  #wantedSince: number | null = null;
  /** Version in force whose differences were rejected; 0 if none. */
  #rejectedBase = 0;

  constructor(self: string, random: Random) {
    this.#self = self;
    this.#random = random;
  }

  /** Bytes of documents that peers have sent. */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Returns how fetches ended since the last call. */
  takeOutcomes(): readonly FetchOutcome[] {
    const outcomes = this.#outcomes;
    this.#outcomes = [];
    return outcomes;
  }

  /** Returns when `step` must be called next, in monotonic milliseconds. */
  nextDueAt(view: FetchView): number {
    if (this.#fetch !== null) {
      return this.#fetch.deadline;
    }
    const startsAt = (this.#wantedSince ?? view.now) + this.#graceMs(view);
    const times = view.sources.map(({ peer }) => this.#avoided.get(peer) ?? 0);
    return Math.max(startsAt, Math.min(...times));
  }

  /** Gives up a fetch whose deadline has passed, and starts one that is due. */
  step(view: FetchView): readonly DocumentEffect[] {
    const { now, sources, heldVersion } = view;
    if (this.#fetch !== null && now >= this.#fetch.deadline) {
      this.failed(this.#fetch.id, now);
    }
    if (sources.length === 0) {
      this.#wantedSince = null;
      this.#fetch = null;
      return [];
    }
    this.#wantedSince ??= now;
    const isEarly = now < this.#wantedSince + this.#graceMs(view);
    if (this.#fetch !== null || isEarly) {
      return [];
    }
    const source = this.#choose(view);
    if (source === undefined) {
      return [];
    }
    const { peer, address } = source;
    this.#fetch = {
      id: this.#nextId++,
      peer,
      address,
      base: this.#rejectedBase === heldVersion ? null : view.base,
      version: heldVersion + 1,
      parts: [],
      receivedBytes: 0,
      digest: "",
      baseVersion: 0,
      deadline: now + partTimeoutMs,
    };
    return [this.#requestPart(this.#fetch)];
  }

  /** Takes a part; returns the request of the next one, or the decoding. */
  partReceived(
    fetchId: number,
    part: DocumentPart__Output,
    now: number,
  ): readonly DocumentEffect[] {
    const fetch = this.#fetch;
    if (fetch?.id !== fetchId) {
      return [];
    }
    if (part.version === 0) {
      const delayMs = part.retryAfterMs > 0 ? part.retryAfterMs : avoidFailedMs;
      const jitteredMs = this.#random.jitter(delayMs, jitterShare);
      this.#avoid(fetch.peer, now + Math.min(jitteredMs, avoidFailedMs));
      this.#fetch = null;
      return [];
    }
    if (!this.#accepts(fetch, part)) {
      this.rejected(fetchId, now);
      return [];
    }
    const { version, digest, baseVersion, content } = part;
    Object.assign(fetch, { version, digest, baseVersion });
    fetch.parts.push(content);
    fetch.receivedBytes += content.length;
    this.#receivedBytes += content.length;
    if (fetch.receivedBytes < part.totalBytes) {
      fetch.deadline = now + partTimeoutMs;
      return [this.#requestPart(fetch)];
    }
    fetch.deadline = now + decodeTimeoutMs;
    return [{
      kind: "decode_document",
      fetchId,
      content: Buffer.concat(fetch.parts),
      digest,
      base: baseVersion === 0 ? null : fetch.base,
    }];
  }

  /** Ends a fetch whose document was decoded; returns its compressed content. */
  completed(fetchId: number, version: number): DocumentContent | null {
    const fetch = this.#fetch;
    if (fetch?.id !== fetchId || fetch.version !== version) {
      return null;
    }
    this.#fetch = null;
    this.#wantedSince = null;
    this.#report("received", fetch);
    const { baseVersion, parts } = fetch;
    return { baseVersion, bytes: Buffer.concat(parts) };
  }

  /** Gives up a fetch, so that another peer is asked. */
  failed(fetchId: number, now: number): void {
    if (this.#fetch?.id === fetchId) {
      this.#report("lost", this.#fetch);
      this.#avoid(this.#fetch.peer, now + avoidFailedMs);
      this.#fetch = null;
    }
  }

  /** Gives up a fetch whose document is wrong; the whole is asked for next. */
  rejected(fetchId: number, now: number): void {
    const fetch = this.#fetch;
    if (fetch?.id !== fetchId) {
      return;
    }
    this.#report("rejected", fetch);
    if (fetch.baseVersion === 0) {
      this.#avoid(fetch.peer, now + avoidRejectedMs);
    } else {
      this.#rejectedBase = fetch.baseVersion;
    }
    this.#fetch = null;
  }

  #report(reason: FetchOutcome["reason"], fetch: Fetch): void {
    const { peer, version, baseVersion, receivedBytes: bytes } = fetch;
    this.#outcomes.push({ reason, peer, version, baseVersion, bytes });
  }

  #graceMs({ readsStore, heldVersion }: FetchView): number {
    return readsStore && heldVersion > 0 ? ownReadMs : 0;
  }

  #accepts(fetch: Fetch, part: DocumentPart__Output): boolean {
    const { version, baseVersion, digest, content, totalBytes } = part;
    const isFirst = fetch.parts.length === 0;
    const isSame = version === fetch.version && digest === fetch.digest &&
      baseVersion === fetch.baseVersion;
    const fitsBase = baseVersion === 0 || baseVersion === fetch.base?.version;
    return (isFirst ? version >= fetch.version : isSame) && fitsBase &&
      content.length > 0 && totalBytes <= maxContentBytes &&
      fetch.receivedBytes + content.length <= totalBytes;
  }

  #choose({ sources, now }: FetchView): DocumentSource | undefined {
    const free = sources.filter(({ peer }) =>
      (this.#avoided.get(peer) ?? 0) <= now
    );
    const newest = Math.max(...free.map(({ version }) => version));
    const best = free.filter(({ version }) => version === newest);
    const near = best.filter(({ isNear }) => isNear);
    const choices = near.length > 0 ? near : best;
    return choices[this.#random.integerBelow(choices.length)];
  }

  #requestPart(fetch: Fetch): DocumentEffect {
    const { id: fetchId, peer, address, version, base, deadline } = fetch;
    return {
      kind: "request_document",
      fetchId,
      peer,
      address,
      request: {
        sender: this.#self,
        version,
        offset: fetch.receivedBytes,
        baseVersion: base?.version ?? 0,
        baseDigest: base?.digest ?? "",
      },
      deadline,
    };
  }

  /** Notes when a peer may be asked again, and forgets what has passed. */
  #avoid(peer: string, until: number): void {
    this.#avoided.delete(peer);
    this.#avoided.set(peer, until);
    for (const id of this.#avoided.keys()) {
      if (this.#avoided.size <= maxAvoided) {
        break;
      }
      this.#avoided.delete(id);
    }
  }
}
