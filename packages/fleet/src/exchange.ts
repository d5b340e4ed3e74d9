import type { ExchangeMessage } from "@lavenderferry/protocol";
import type { Moment, Random } from "@lavenderferry/runtime";
import {
  ExchangeBudget,
  maxFullStateBytes,
  maxMessageItemBytes,
  messageOverheadBytes,
} from "./exchange_budget.ts";
import { exchangeIntervalMs } from "./exchange_intervals.ts";
import type { ItemKind, ItemValues } from "./item.ts";
import { forwardedKinds } from "./item.ts";
import type { Item } from "./item_store.ts";
import { ItemStore } from "./item_store.ts";
import { Link } from "./link.ts";
import type { Member } from "./member.ts";

/** A message to one peer. */
export interface OutgoingMessage {
  readonly peer: string;
  readonly address: string;
  readonly message: ExchangeMessage;
}

/** The fields that every message of a process carries. */
export interface MessageHeader {
  readonly sender: string;
  readonly epoch: string;
  readonly configurationVersion: number;
  readonly storeEra: number;
  readonly full: boolean;
  /** Milliseconds since the configuration was confirmed to be the newest. */
  readonly configurationAgeMs?: number;
  /** Whether the sender serves the configuration by calls of its own. */
  readonly readsDocuments: boolean;
}

/** What a message tells of the platform's store; `null` if that is not known. */
export type StoreNews = Pick<ExchangeMessage, "upstreams" | "evacuations">;

/** Returns the news of the platform's store for a peer. */
export type NewsSource = (link: Link, at: Moment) => StoreNews;

/** The origin of a change and how soon it must be sent. */
export interface ChangeOptions {
  readonly at: Moment;
  /** Peer that sent the change; it is not sent back to that peer. */
  readonly from?: string;
  /** Whether to send the change without waiting for the next exchange. */
  readonly urgent?: boolean;
}

/** Fraction by which the interval between exchanges varies. */
const jitterShare = 0.2;

/** Delay before a failed exchange is retried. */
const retryDelayMs = 250;

/** Time after which a silent link to a peer that is not chosen is removed. */
const idleLinkTimeoutMs = 10_000;

/** Age up to which a change is sent to peers whose links open later. */
const recentChangeMs = 60_000;

/** Intervals after which a link is silent; above the longest one. */
const silentIntervals = 1.5;

/** Minimum number of links whose joint silence shows a fault on this side. */
const minIsolationLinks = 3;

/** Maximum number of links that a process keeps. */
const maxLinks = 64;

/** The links to peers, with the items that are still to be sent to each. */
export class Exchange {
  readonly store = new ItemStore();
  readonly #links = new Map<string, Link>();
  readonly #budget = new ExchangeBudget();
  readonly #self: string;
  readonly #random: Random;
  readonly #newsFor: NewsSource;
  #sequence = 0;
  #repairIndex = 0;

  constructor(
    self: string,
    random: Random,
    newsFor: NewsSource = () => ({}),
  ) {
    this.#newsFor = newsFor;
    this.#self = self;
    this.#random = random;
  }

  get links(): readonly Link[] {
    return [...this.#links.values()];
  }

  /** Returns the link to a peer, if there is one. */
  linkTo(id: string): Link | undefined {
    return this.#links.get(id);
  }

  /** Sets the peers to call; removes silent links to all others. */
  setPeers(
    peers: readonly Member[],
    { at, intervalMsOf = () => exchangeIntervalMs }: {
      readonly at: Moment;
      readonly intervalMsOf?: (peer: Member) => number;
    },
  ): void {
    const chosen = new Set(peers.map(({ id }) => id));
    for (const peer of peers) {
      const link = this.openLink(peer.id, peer.peers, at);
      if (link !== null) {
        link.address = peer.peers;
        link.chosen = true;
        link.intervalMs = intervalMsOf(peer);
      }
    }
    for (const link of this.#links.values()) {
      link.chosen = chosen.has(link.id);
      if (
        !link.chosen && at.monotonic - link.lastReceivedAt > idleLinkTimeoutMs
      ) {
        this.#links.delete(link.id);
      }
    }
  }

  /** Returns a peer's link, opened if needed; `null` if there are too many. */
  openLink(id: string, address: string, at: Moment): Link | null {
    const known = this.#links.get(id);
    if (known !== undefined) {
      return known;
    }
    if (this.#links.size >= maxLinks) {
      return null;
    }
    const link = new Link(id, address);
    link.lastReceivedAt = at.monotonic;
    link.nextExchangeAt = at.monotonic +
      exchangeIntervalMs * this.#random.fraction() / 4;
    this.#links.set(id, link);
    this.#queueState(link, at);
    return link;
  }

  /** Resets a link if the peer has restarted since the last message. */
  resetOnNewEpoch(link: Link, epoch: string, at: Moment): void {
    if (link.epoch !== epoch) {
      link.epoch = epoch;
      link.configurationVersion = 0;
      link.listVersion = 0;
      link.evacuationsVersion = 0;
      link.lastRequestSequence = 0;
      link.lastReplySequence = 0;
      this.#queueState(link, at);
    }
  }

  /** Stores a changed item and queues it for all peers but its sender. */
  publish<Kind extends ItemKind>(
    kind: Kind,
    { key, value }: { readonly key: string; readonly value: ItemValues[Kind] },
    { at, from, urgent = false }: ChangeOptions,
  ): void {
    if (!this.store.set(kind, key, { value, changedAt: at.monotonic })) {
      return;
    }
    for (const link of this.#links.values()) {
      if (link.id !== from) {
        link.add(kind, key);
        link.urgent ||= urgent;
      }
    }
  }

  /** Deletes the items of a kind whose keys are not kept. */
  retain(kind: ItemKind, isKept: (key: string) => boolean): void {
    for (const { key } of this.store.ofKind(kind)) {
      if (!isKept(key)) {
        this.store.delete(kind, key);
      }
    }
  }

  /** Marks links as urgent whose peers have an older configuration version. */
  announceVersion(version: number): void {
    for (const link of this.#links.values()) {
      link.urgent ||= link.configurationVersion < version;
    }
  }

  /** Marks links as urgent whose peers have an older list of upstreams. */
  announceList(version: number): void {
    for (const link of this.#links.values()) {
      link.urgent ||= link.listVersion < version;
    }
  }

  /** Marks links as urgent whose peers have older evacuations. */
  announceEvacuations(version: number): void {
    for (const link of this.#links.values()) {
      link.urgent ||= link.evacuationsVersion < version;
    }
  }

  /**
   * Returns when a request is due next, in monotonic milliseconds; now if an
   * urgent one could not be sent yet.
   */
  nextDueAt(at: Moment): number {
    let dueAt = Infinity;
    for (const link of this.#links.values()) {
      if (link.requestInFlight || link.address === "") {
        continue;
      }
      const ownDueAt = link.chosen ? link.nextExchangeAt : Infinity;
      dueAt = Math.min(dueAt, link.urgent ? at.monotonic : ownDueAt);
    }
    return dueAt;
  }

  /** Whether no peer has sent anything, although there are several links. */
  isSilent(at: Moment): boolean {
    const { links } = this;
    return links.length >= minIsolationLinks &&
      links.every(({ lastReceivedAt, intervalMs }) =>
        at.monotonic - lastReceivedAt > silentIntervals * intervalMs
      );
  }

  /** Builds the requests that are due. */
  buildDueRequests(
    header: MessageHeader,
    at: Moment,
  ): readonly OutgoingMessage[] {
    const requests: OutgoingMessage[] = [];
    for (const link of this.#links.values()) {
      if (link.requestInFlight || link.address === "") {
        continue;
      }
      const periodic = link.chosen && at.monotonic >= link.nextExchangeAt;
      const urgent = link.urgent &&
        this.#budget.trySpend(maxMessageItemBytes + messageOverheadBytes, at);
      if (periodic || urgent) {
        requests.push(this.#buildRequest(link, header, at));
      }
    }
    return requests;
  }

  /** Builds the reply to a peer's message. */
  buildReply(link: Link, header: MessageHeader, options: {
    readonly full: boolean;
    readonly at: Moment;
  }): ExchangeMessage {
    const { full, at } = options;
    if (full) {
      this.#queueState(link, at, Infinity);
    }
    const budgetBytes = full ? maxFullStateBytes : maxMessageItemBytes;
    const { items, bytes } = link.takeItems(this.store, budgetBytes);
    this.#budget.spend(full ? 0 : bytes + messageOverheadBytes, at);
    const sequence = ++this.#sequence;
    link.replySent(sequence, items);
    return {
      ...header,
      sequence,
      full: false,
      ...this.#newsFor(link, at),
      ...groupByKind(items),
    };
  }

  /** Records a reply and schedules the next exchange. */
  replyReceived(link: Link, at: Moment): void {
    link.requestDelivered();
    link.lastReceivedAt = at.monotonic;
    link.nextExchangeAt = at.monotonic +
      this.#random.jitter(link.intervalMs, jitterShare);
  }

  /** Requeues the items of a failed request and schedules a retry. */
  requestFailed(id: string, at: Moment): void {
    const link = this.#links.get(id);
    if (link !== undefined) {
      link.requestFailed();
      link.nextExchangeAt = at.monotonic +
        this.#random.jitter(retryDelayMs, jitterShare);
    }
  }

  #buildRequest(
    link: Link,
    header: MessageHeader,
    at: Moment,
  ): OutgoingMessage {
    this.#queueRepair(link);
    const { items, bytes } = link.takeItems(this.store, maxMessageItemBytes);
    this.#budget.spend(link.urgent ? 0 : bytes + messageOverheadBytes, at);
    link.requestSent(items);
    link.nextExchangeAt = at.monotonic +
      this.#random.jitter(link.intervalMs, jitterShare);
    const sequence = ++this.#sequence;
    const acknowledged = link.lastReplySequence;
    link.requestSentAt = at.monotonic;
    return {
      peer: link.id,
      address: link.address,
      message: {
        ...header,
        sequence,
        acknowledged,
        ...this.#newsFor(link, at),
        ...groupByKind(items),
      },
    };
  }

  /**
   * Queues one member in round-robin order if nothing else is queued, so that a
   * peer that missed a record gets it eventually.
   */
  #queueRepair(link: Link): void {
    const members = this.store.ofKind("members");
    const item = members[this.#repairIndex++ % Math.max(1, members.length)];
    if (item !== undefined && link.queuedItemCount === 0) {
      link.add("members", item.key);
    }
  }

  /**
   * Queues the items that a new or restarted peer may lack: the process's own
   * items of any age and forwarded ones up to an age.
   */
  #queueState(link: Link, at: Moment, ageMs = recentChangeMs): void {
    link.add("members", this.#self);
    link.add("members", link.id);
    for (const { kind, key, changedAt } of this.store.all()) {
      const recent = at.monotonic - changedAt <= ageMs;
      if (recent || !forwardedKinds.has(kind)) {
        link.add(kind, key);
      }
    }
  }
}

function groupByKind(items: readonly Item[]): ExchangeMessage {
  const groups: { [Kind in ItemKind]?: ItemValues[Kind][] } = {};
  for (const { kind, value } of items) {
    const list = (groups[kind] ??= []) as object[];
    list.push(value);
  }
  return groups;
}
