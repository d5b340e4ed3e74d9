import type { StoreVersion, Vm } from "@lavenderferry/platform";
import { eraOf } from "@lavenderferry/platform";
import type {
  UpstreamNews,
  UpstreamNews__Output,
} from "@lavenderferry/protocol";
import type { Moment } from "@lavenderferry/runtime";
import type { RelayedUpstreams } from "./fleet_updates.ts";
import type { Link } from "./link.ts";
import type { Marks } from "./marks.ts";
import type { ListedUpstreams } from "./upstream_list.ts";
import { UpstreamList } from "./upstream_list.ts";

/**
 * Age at which a list of upstreams is wanted from any peer, as a share of the
 * time within which changes must be known.
 */
const wantedAgeShare = 0.5;

/** Milliseconds for which all upstreams are wanted after changes were missed. */
const wantedMs = 2_000;

/** Longest retention that is believed of a peer, in milliseconds. */
const maxRetentionMs = 5_000;

/** Milliseconds between two reports of a list that has not changed. */
const confirmationIntervalMs = 1_000;

/**
 * Time by which a renewed row may state more of a cold time than remains of it,
 * from the delays of two reads of the store.
 */
const renewalToleranceMs = 2_000;

/** What peers' news of the list of upstreams led to. */
export interface NewsEffect {
  /** The list, if it has changed or was confirmed. */
  readonly upstreams: RelayedUpstreams | null;
  /** Whether the list has changed, so that other peers must be told. */
  readonly isChanged: boolean;
  /** Whether the peer knows changes that it did not send. */
  readonly isIncomplete: boolean;
}

/** Passes the platform's list of upstreams on between processes. */
export class ListRelay {
  readonly list: UpstreamList;
  readonly #marks: Marks;
  readonly #freshnessMs: number;
  #retainedUntil = 0;
  /** Monotonic deadline until which all upstreams are wanted. */
  #wantedUntil = -Infinity;
  #reportedAt = -Infinity;
  /** First version of the list after the latest restore of the store. */
  #eraStart: StoreVersion = Infinity;

  constructor(marks: Marks, freshnessMs: number) {
    this.#marks = marks;
    this.#freshnessMs = freshnessMs;
    this.list = new UpstreamList((known, later, { elapsedMs }) =>
      this.#isNews(known, later, elapsedMs)
    );
  }

  /**
   * Applies a list that the store was asked for at `askedAt`, unless a later
   * one is known; returns whether peers must be told.
   */
  read(list: ListedUpstreams, askedAt: number): boolean {
    const { changedIn, version } = this.list;
    if (version > 0 && eraOf(version) < eraOf(list.version)) {
      this.#eraStart = list.version;
    }
    this.list.read(list, askedAt);
    return this.list.changedIn !== changedIn;
  }

  /** Sets the monotonic deadline until which unlisted upstreams are retained. */
  retainUnlisted(deadline: number): void {
    this.#retainedUntil = deadline;
  }

  /** Returns the news for a peer; `null` before the first read. */
  newsFor(link: Link, { monotonic: now }: Moment): UpstreamNews | null {
    const { askedAt } = this.list;
    return this.list.newsFor(link.listVersion, {
      now,
      isWantedByPeer: link.wantsUpstreams,
      isWanted: now - askedAt >= wantedAgeShare * this.#freshnessMs ||
        now < this.#wantedUntil,
      retainedUntil: this.#retainedUntil,
    });
  }

  /**
   * Applies a peer's news. `sentAt` is when a reply was asked for; `-Infinity`
   * for a request, which may have been on its way for any time.
   */
  apply(
    news: UpstreamNews__Output,
    link: Link,
    { at, sentAt }: { readonly at: Moment; readonly sentAt: number },
  ): NewsEffect {
    link.listVersion = news.version;
    link.wantsUpstreams = news.wanted;
    const askedAt = news.ageMs >= 0 ? sentAt - news.ageMs : -Infinity;
    const outcome = this.list.merge(news, askedAt, {
      now: at.monotonic,
    });
    const isIncomplete = outcome === "incomplete";
    const isChanged = outcome === "changed";
    if (isIncomplete) {
      this.#wantedUntil = at.monotonic + wantedMs;
    } else if (isChanged) {
      this.#wantedUntil = -Infinity;
    }
    const isDue = at.monotonic - this.#reportedAt >= confirmationIntervalMs;
    if (!isChanged && (outcome !== "confirmed" || !isDue)) {
      return { upstreams: null, isChanged, isIncomplete };
    }
    this.#reportedAt = at.monotonic;
    const retentionMs = news.retentionMs > 0
      ? Math.min(news.retentionMs, maxRetentionMs)
      : 0;
    const upstreams = { ...this.list.listed, retentionMs };
    return { upstreams, isChanged, isIncomplete };
  }

  /**
   * Whether a later version of a row outranks a mark that the known version does
   * not, shows that the row was written since the store was restored, or tells
   * that an upstream has become cold or warm.
   */
  #isNews(knownVm: Vm, laterVm: Vm, elapsedMs: number): boolean {
    const { id, version: known = 0 } = knownVm;
    const { version: later = 0 } = laterVm;
    if (later > known && hasChangedWarmth(knownVm, laterVm, elapsedMs)) {
      return true;
    }
    const markVersion = this.#marks.get(id)?.version ?? -1;
    return [markVersion, this.#eraStart].some((version) =>
      known <= version && version < later
    );
  }
}

/**
 * Whether an upstream became cold, became cold again, or is warm. What remains of
 * a cold time is less than the known row says, but renewed rows are read with
 * delays that differ.
 */
function hasChangedWarmth(
  { coldMs: known = 0 }: Vm,
  { coldMs: later = known }: Vm,
  elapsedMs: number,
): boolean {
  const remaining = Math.max(0, known - elapsedMs) + renewalToleranceMs;
  return later > Math.min(known, remaining) || (later === 0 && known > 0);
}
