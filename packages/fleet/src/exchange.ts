import type { ExchangeMessage } from "@lavenderferry/protocol";
import type { Moment, Random } from "@lavenderferry/runtime";
import {
  ExchangeBudget,
  exchangeMs,
  fullStateBytes,
  messageBytes,
  overheadBytes,
} from "./exchange_budget.ts";
import type { ItemKind, ItemValues } from "./item.ts";
import { forwardedKinds } from "./item.ts";
import type { Item } from "./item_store.ts";
import { ItemStore } from "./item_store.ts";
import { Link } from "./link.ts";
import type { Member } from "./member.ts";

/** A message to one peer. */
export interface Send {
  readonly peer: string;
  readonly address: string;
  readonly message: ExchangeMessage;
}

/** What every message of a process states. */
export interface Heading {
  readonly sender: string;
  readonly epoch: string;
  readonly configurationVersion: number;
  readonly full: boolean;
}

/** Where a change came from, and how soon it must go on. */
export interface ChangeOptions {
  readonly at: Moment;
  /** Peer that told it, and so knows it. */
  readonly from?: string;
  readonly urgent?: boolean;
}

/** Share by which the period of exchanges varies. */
const jitterShare = 0.2;

/** Milliseconds until a failed exchange is tried again. */
const retryMs = 250;

/** Milliseconds after which a silent link that was not chosen is dropped. */
const forgetMs = 10_000;

/** Milliseconds for which a change is told to peers that were chosen later. */
const recentMs = 60_000;

/** Links that a process keeps at most. */
const maxLinks = 64;

/** The links to peers, and what each of them still has to be told. */
export class Exchange {
  readonly store = new ItemStore();
  readonly #links = new Map<string, Link>();
  readonly #budget = new ExchangeBudget();
  readonly #self: string;
  readonly #random: Random;
  #sequence = 0;
  #repair = 0;

  constructor(self: string, random: Random) {
    this.#self = self;
    this.#random = random;
  }

  /** All links. */
  get links(): readonly Link[] {
    return [...this.#links.values()];
  }

  /** Chooses the peers to call; silent others are dropped. */
  setPeers(peers: readonly Member[], at: Moment): void {
    const chosen = new Set(peers.map(({ id }) => id));
    for (const peer of peers) {
      const link = this.link(peer.id, peer.peers, at);
      if (link !== null) {
        link.address = peer.peers;
        link.chosen = true;
      }
    }
    for (const link of this.#links.values()) {
      link.chosen = chosen.has(link.id);
      if (!link.chosen && at.monotonic - link.heardAt > forgetMs) {
        this.#links.delete(link.id);
      }
    }
  }

  /** Returns the link of a peer; `null` beyond the bound. */
  link(id: string, address: string, at: Moment): Link | null {
    const known = this.#links.get(id);
    if (known !== undefined) {
      return known;
    }
    if (this.#links.size >= maxLinks) {
      return null;
    }
    const link = new Link(id, address);
    link.heardAt = at.monotonic;
    link.nextAt = at.monotonic + exchangeMs * this.#random.fraction() / 4;
    this.#links.set(id, link);
    this.#fill(link, at);
    return link;
  }

  /** Starts a link afresh when its peer is another run than before. */
  identify(link: Link, epoch: string, at: Moment): void {
    if (link.epoch !== epoch) {
      link.epoch = epoch;
      link.version = 0;
      link.requested = 0;
      link.replied = 0;
      this.#fill(link, at);
    }
  }

  /** Keeps an item that changed and queues it for the peers. */
  change<Kind extends ItemKind>(
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

  /** Lets every peer that knows less know of a configuration version. */
  announce(version: number): void {
    for (const link of this.#links.values()) {
      link.urgent ||= link.version < version;
    }
  }

  /** Returns the messages that are due. */
  due(heading: Heading, at: Moment): readonly Send[] {
    const sends: Send[] = [];
    for (const link of this.#links.values()) {
      if (link.busy || link.address === "") {
        continue;
      }
      const periodic = link.chosen && at.monotonic >= link.nextAt;
      const urgent = link.urgent &&
        this.#budget.take(messageBytes + overheadBytes, at);
      if (periodic || urgent) {
        sends.push(this.#send(link, heading, at));
      }
    }
    return sends;
  }

  /** Builds the reply to a peer's message. */
  reply(link: Link, heading: Heading, options: {
    readonly full: boolean;
    readonly at: Moment;
  }): ExchangeMessage {
    const { full, at } = options;
    if (full) {
      this.#fill(link, at, Infinity);
    }
    const budget = full ? fullStateBytes : messageBytes;
    const { items, bytes } = link.take(this.store, budget);
    this.#budget.spend(full ? 0 : bytes + overheadBytes, at);
    const sequence = ++this.#sequence;
    link.answered(sequence, items);
    return { ...heading, sequence, full: false, ...group(items) };
  }

  /** A request arrived, and its reply came. */
  arrived(link: Link, at: Moment): void {
    link.arrived();
    link.heardAt = at.monotonic;
    link.nextAt = at.monotonic + this.#random.jitter(exchangeMs, jitterShare);
  }

  /** A request failed. */
  failed(id: string, at: Moment): void {
    const link = this.#links.get(id);
    if (link !== undefined) {
      link.lost();
      link.nextAt = at.monotonic + this.#random.jitter(retryMs, jitterShare);
    }
  }

  #send(link: Link, heading: Heading, at: Moment): Send {
    this.#addRepair(link);
    const { items, bytes } = link.take(this.store, messageBytes);
    this.#budget.spend(link.urgent ? 0 : bytes + overheadBytes, at);
    link.sent(items);
    link.nextAt = at.monotonic + this.#random.jitter(exchangeMs, jitterShare);
    const sequence = ++this.#sequence;
    const acknowledged = link.replied;
    return {
      peer: link.id,
      address: link.address,
      message: { ...heading, sequence, acknowledged, ...group(items) },
    };
  }

  /** Adds one member in turn, so that a lost record is repaired in time. */
  #addRepair(link: Link): void {
    const members = this.store.of("members");
    const item = members[this.#repair++ % Math.max(1, members.length)];
    if (item !== undefined && link.waiting === 0) {
      link.add("members", item.key);
    }
  }

  /** Queues what a peer that starts afresh may not know. */
  #fill(link: Link, at: Moment, ageMs = recentMs): void {
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

function group(items: readonly Item[]): ExchangeMessage {
  const groups: { [Kind in ItemKind]?: ItemValues[Kind][] } = {};
  for (const { kind, value } of items) {
    const list = (groups[kind] ??= []) as object[];
    list.push(value);
  }
  return groups;
}
