import type { StoreVersion, Vm } from "@lavenderferry/platform";
import { eraOf, vmSchema } from "@lavenderferry/platform";
import type {
  UpstreamChange,
  UpstreamChange__Output,
  UpstreamNews,
  UpstreamNews__Output,
} from "@lavenderferry/protocol";
import { hashText } from "@lavenderferry/runtime";

/** The platform's list of upstreams at one version. */
export interface ListedUpstreams {
  readonly vms: readonly Vm[];
  readonly version: StoreVersion;
}

/** What became of a peer's news. */
export type NewsOutcome =
  /** Nothing that was not known. */
  | "known"
  /** The same upstreams, in a later version of the list. */
  | "confirmed"
  /** Other upstreams than before. */
  | "changed"
  /** Changes of which earlier ones are missing here. */
  | "incomplete";

/**
 * Tells of two rows of an upstream that differ in their versions only whether
 * peers must learn the later version.
 */
export type RowComparison = (
  known: Vm,
  later: Vm,
  options: {
    /** Milliseconds since the known version of the row was learned. */
    readonly elapsedMs: number;
  },
) => boolean;

interface Entry {
  readonly vm: Vm;
  /** Monotonic milliseconds at which this version of the row was learned. */
  readonly learnedAt: number;
  /** Version of the list in which the latest change was noticed. */
  readonly changedIn: StoreVersion;
  /** Hash of what processes act on, without the version of the row. */
  readonly hash: number;
}

interface Revision {
  readonly entries: ReadonlyMap<string, Entry>;
  readonly isChanged: boolean;
}

/**
 * The platform's list of upstreams as this process read it or heard of it from
 * peers, with what has changed since when, so that a peer can be told just what
 * it lacks. A process does not see changes that are undone between two of its
 * reads, so a digest tells whether the peer then has the same upstreams. Only
 * versions of one era of the store are compared; a list of a later era must be
 * read from the store first.
 */
export class UpstreamList {
  readonly #isNews: RowComparison;
  #entries: ReadonlyMap<string, Entry> = new Map();
  /** Versions in which upstreams were found missing, by id. */
  #removals: ReadonlyMap<string, StoreVersion> = new Map();
  /** Version from which on all changes are known. */
  #knownSince: StoreVersion = 0;
  #version: StoreVersion = 0;
  #changedIn: StoreVersion = 0;
  #digest = 0;
  #askedAt = -Infinity;

  /** Version of the list; 0 before the first read. */
  get version(): StoreVersion {
    return this.#version;
  }

  /** Version in which the latest change was noticed. */
  get changedIn(): StoreVersion {
    return this.#changedIn;
  }

  /** Monotonic milliseconds at which the store was asked for that version. */
  get askedAt(): number {
    return this.#askedAt;
  }

  /** Returns the upstreams and the version of the list. */
  get listed(): ListedUpstreams {
    const vms = [...this.#entries.values()].map(({ vm }) => vm);
    return { vms, version: this.#version };
  }

  /** `isNews`: see `RowComparison`; by default none is news. */
  constructor(isNews: RowComparison = () => false) {
    this.#isNews = isNews;
  }

  /** Adds to the age of the list time that the monotonic clock did not count. */
  addAge(milliseconds: number): void {
    this.#askedAt -= milliseconds;
  }

  /**
   * Applies a list that the store was asked for at `askedAt`; returns whether
   * it is not older than the known one.
   */
  read({ vms, version }: ListedUpstreams, askedAt: number): boolean {
    if (version < this.#version) {
      return false;
    }
    const isFirst = this.#version === 0 ||
      eraOf(version) !== eraOf(this.#version);
    if (isFirst) {
      this.#removals = new Map();
      this.#entries = new Map();
      this.#digest = 0;
      this.#knownSince = version;
    }
    const changes = vms.map((vm) => ({ id: vm.id, vm }));
    const revision = this.#revise(changes, {
      version,
      isComplete: true,
      now: askedAt,
    });
    this.#commit(revision, version);
    this.#changedIn = isFirst ? version : this.#changedIn;
    this.#askedAt = Math.max(this.#askedAt, askedAt);
    return true;
  }

  /**
   * Encodes what a peer with the list `peerVersion` lacks; `null` before the
   * first read. All upstreams are sent only if the peer wants them.
   */
  newsFor(
    peerVersion: StoreVersion,
    { now, isWantedByPeer, isWanted, retainedUntil }: {
      /** Monotonic milliseconds. */
      readonly now: number;
      readonly isWantedByPeer: boolean;
      /** Whether this process wants all upstreams if need be. */
      readonly isWanted: boolean;
      /** Monotonic deadline until which unlisted upstreams are retained. */
      readonly retainedUntil: number;
    },
  ): UpstreamNews | null {
    if (this.#version === 0) {
      return null;
    }
    const news = {
      version: this.#version,
      digest: this.#digest,
      ageMs: now - this.#askedAt,
      wanted: isWanted,
      retentionMs: Math.max(0, retainedUntil - now),
    };
    const isFollowing = peerVersion >= this.#knownSince &&
      eraOf(peerVersion) === eraOf(this.#version);
    if (!isFollowing && !isWantedByPeer) {
      return news;
    }
    const since = isFollowing ? peerVersion : 0;
    const changes = since >= this.#changedIn ? [] : this.#changesAfter(since);
    return { ...news, hasChanges: true, since, changes };
  }

  /**
   * Applies a peer's news. `askedAt` is when the peer asked the store for them
   * at the latest; `-Infinity` if that is not known. `now` is in monotonic
   * milliseconds.
   */
  merge(
    news: UpstreamNews__Output,
    askedAt: number,
    { now = askedAt }: { readonly now?: number } = {},
  ): NewsOutcome {
    const { version, digest, hasChanges, since } = news;
    const numbers = [version, digest, since];
    if (
      !numbers.every((number) => Number.isSafeInteger(number) && number >= 0) ||
      this.#version === 0 || version < this.#version ||
      eraOf(version) !== eraOf(this.#version)
    ) {
      return "known";
    }
    const isComplete = hasChanges && since === 0;
    const isFollowing = hasChanges && since <= this.#version;
    const changes = isFollowing ? readChanges(news.changes) : [];
    if (changes === null) {
      return "incomplete";
    }
    const revision = this.#revise(changes, { version, isComplete, now });
    if (digest !== digestOf(revision.entries.values())) {
      return version === this.#version ? "known" : "incomplete";
    }
    const isConfirmed = version > this.#version;
    this.#commit(revision, version);
    this.#askedAt = Math.max(this.#askedAt, askedAt);
    if (revision.isChanged) {
      return "changed";
    }
    return isConfirmed ? "confirmed" : "known";
  }

  /** Returns the list with changes applied, which stays as it is. */
  #revise(
    changes: readonly ReadChange[],
    { version, isComplete, now }: {
      readonly version: StoreVersion;
      /** Whether upstreams that are not among the changes are not listed. */
      readonly isComplete: boolean;
      readonly now: number;
    },
  ): Revision {
    const entries = new Map(this.#entries);
    const removed = new Set<string>();
    let isChanged = false;
    for (const { id, vm } of changes) {
      const known = entries.get(id);
      if (vm === null) {
        removed.add(id);
      } else if (
        known === undefined || !isSame(known.vm, vm) ||
        this.#isNews(known.vm, vm, { elapsedMs: now - known.learnedAt })
      ) {
        const hash = hashOf(vm);
        entries.set(id, { vm, learnedAt: now, changedIn: version, hash });
        isChanged = true;
      } else if ((vm.version ?? 0) > (known.vm.version ?? 0)) {
        entries.set(id, { ...known, vm, learnedAt: now });
      }
    }
    const listed = new Set(changes.map(({ id }) => id));
    for (const id of this.#entries.keys()) {
      if (removed.has(id) || (isComplete && !listed.has(id))) {
        entries.delete(id);
        isChanged = true;
      }
    }
    return { entries, isChanged };
  }

  #commit({ entries, isChanged }: Revision, version: StoreVersion): void {
    if (isChanged) {
      const removals = new Map(this.#removals);
      for (const id of this.#entries.keys()) {
        if (!entries.has(id)) {
          removals.set(id, version);
        }
      }
      this.#removals = removals;
      this.#changedIn = version;
      this.#digest = digestOf(entries.values());
      this.#limitRemovals(removals);
    }
    this.#entries = entries;
    this.#version = version;
  }

  #limitRemovals(removals: Map<string, StoreVersion>): void {
    for (const [id, removedIn] of removals) {
      if (removals.size <= maxRemovals) {
        return;
      }
      removals.delete(id);
      this.#knownSince = Math.max(this.#knownSince, removedIn);
    }
  }

  #changesAfter(since: StoreVersion): UpstreamChange[] {
    const changes: UpstreamChange[] = [];
    for (const [id, { vm, changedIn }] of this.#entries) {
      if (changedIn > since) {
        changes.push({ id, document: JSON.stringify(vm) });
      }
    }
    for (const [id, removedIn] of since === 0 ? [] : this.#removals) {
      if (removedIn > since && !this.#entries.has(id)) {
        changes.push({ id, document: "" });
      }
    }
    return changes;
  }
}

/** Fields of an upstream that processes act on. */
const comparedFields = [
  "state",
  "address",
  "pool",
  "slots",
  "instance",
  "role",
  "dataCentre",
  "region",
  "checksFence",
] as const satisfies readonly (keyof Vm)[];

/** Sums of two digests below this range are exact. */
const digestRange = 2 ** 52;

/** Values of the second of two hashes that are joined into one number. */
const lowHashRange = 2 ** 20;

/** Maximum number of removals that are remembered for peers. */
const maxRemovals = 1_024;

interface ReadChange {
  readonly id: string;
  /** `null`: the upstream is not listed any more. */
  readonly vm: Vm | null;
}

/** Decodes changes; returns `null` if one of them is not usable. */
function readChanges(
  changes: readonly UpstreamChange__Output[],
): readonly ReadChange[] | null {
  const read: ReadChange[] = [];
  for (const { id, document } of changes) {
    const vm = document === "" ? null : readDocument(document);
    if (vm === undefined || (vm !== null && vm.id !== id)) {
      return null;
    }
    read.push({ id, vm });
  }
  return read;
}

function readDocument(document: string): Vm | undefined {
  try {
    return vmSchema.safeParse(JSON.parse(document)).data;
  } catch {
    return undefined;
  }
}

/** Whether two rows of an upstream differ in their versions at most. */
function isSame(a: Vm, b: Vm): boolean {
  return comparedFields.every((field) => a[field] === b[field]);
}

function hashOf(vm: Vm): number {
  const text = comparedFields.map((field) => String(vm[field])).join("\n");
  return hashText(`${vm.id}\n${text}`) * lowHashRange +
    hashText(`${text}\n${vm.id}`) % lowHashRange;
}

/** Returns a digest that does not depend on the order of the upstreams. */
function digestOf(entries: Iterable<Entry>): number {
  let digest = 0;
  for (const { hash } of entries) {
    digest = (digest + hash) % digestRange;
  }
  return digest;
}
