import type { Configuration } from "@lavenderferry/configuration";
import { configurationSchema } from "@lavenderferry/configuration";
import type { Vm } from "@lavenderferry/platform";
import type {
  ConfigurationRecord,
  EngineShare,
  ExchangeMessage,
  ExchangeMessage__Output,
  LengthSketch,
} from "@lavenderferry/protocol";
import type { Moment } from "@lavenderferry/runtime";
import { Random } from "@lavenderferry/runtime";
import type { DutyHolder } from "./duty_directory.ts";
import { DutyDirectory } from "./duty_directory.ts";
import type { Heading, Send } from "./exchange.ts";
import { Exchange } from "./exchange.ts";
import type { Link } from "./link.ts";
import type { Mark } from "./marks.ts";
import { Marks } from "./marks.ts";
import type { Member, MemberRole, MemberState } from "./member.ts";
import { memberStates } from "./member.ts";
import { Membership } from "./membership.ts";
import type { FanOut } from "./peer_selection.ts";
import { choosePeers } from "./peer_selection.ts";

/** A document that every process takes, in versions. */
export interface Versioned {
  readonly version: number;
}

/** What one process states of itself at its start. */
export interface FleetNodeOptions<Document extends Versioned = Configuration> {
  readonly id: string;
  readonly epoch: string;
  readonly role: MemberRole;
  readonly dataCentre: string;
  readonly region: string;
  readonly seed: number;
  /** Reads a configuration that a peer sent; `null`: it is not valid. */
  readonly readConfiguration?: (document: unknown) => Document | null;
  /** Configuration versions that are kept for peers. */
  readonly keptVersions?: number;
  /** Peers that this process calls. */
  readonly fanOut?: FanOut;
}

/** What a process learned from its peers since it last asked. */
export interface News<Document extends Versioned = Configuration> {
  readonly marks: readonly Mark[];
  readonly configurations: readonly Document[];
  /** Work in flight of each peer whose figures changed. */
  readonly shares: ReadonlyMap<string, readonly PeerWork[]>;
  readonly lengths: ReadonlyMap<string, readonly Sketch[]>;
  /** Members whose state changed. */
  readonly members: readonly Member[];
}

/** Work in flight at one engine. */
export interface PeerWork {
  readonly engine: string;
  readonly running: number;
  readonly tokens: number;
}

/** Counts of output lengths. */
export interface Sketch {
  readonly workClass: string;
  readonly model: string;
  readonly counts: readonly number[];
}

/** Configuration versions that are kept for peers. */
const defaultKeptVersions = 8;

/** Peers whose full state a joining process takes. */
const fullReplies = 2;

/** Milliseconds between two attempts to reach a member that is gone. */
const probeMs = 5_000;

/** Milliseconds after which the choice of peers is reviewed anyway. */
const reviewMs = 5_000;

/**
 * One process's part in the fleet: what it knows of members, marks, duties and
 * the configuration, and the messages that spread it. Pure; time comes in.
 */
export class FleetNode<Document extends Versioned = Configuration> {
  readonly membership: Membership;
  readonly marks = new Marks();
  readonly duties = new DutyDirectory();
  readonly #options: FleetNodeOptions<Document>;
  readonly #readConfiguration: (document: unknown) => Document | null;
  readonly #exchange: Exchange;
  readonly #random: Random;
  readonly #configurations = new Map<number, ConfigurationRecord>();
  readonly #works = new Map<string, Map<string, PeerWork>>();
  readonly #answered = new Set<string>();
  #version = 0;
  #full = 0;
  #reviewAt = 0;
  #probeAt = 0;
  #news = emptyNews<Document>();

  constructor(options: FleetNodeOptions<Document>, startedAt: number) {
    const { id, epoch, role, dataCentre, region, seed } = options;
    this.#options = options;
    this.#readConfiguration = options.readConfiguration ??
      ((document) => readStatement(document) as Document | null);
    this.#random = new Random(seed ^ Number.parseInt(epoch.slice(0, 6), 16));
    this.#exchange = new Exchange(id, this.#random);
    this.membership = new Membership({
      id,
      epoch,
      role,
      dataCentre,
      region,
      sequence: startedAt,
      state: "live",
      address: "",
      peers: "",
    });
  }

  /** Number of peers that stated a configuration version, all known here. */
  get configurationAnswers(): number {
    return this.#answered.size;
  }

  /** Number of links to peers. */
  get links(): number {
    return this.#exchange.links.length;
  }

  /** States the sockets on which this process is reached. */
  listen(address: string, peers: string): void {
    this.membership.state({ address, peers });
  }

  /** States that this process is leaving. */
  leave(at: Moment): void {
    this.membership.state({ state: "leaving" });
    this.#spreadMembers(at, undefined);
  }

  /** Takes the platform's list; returns marks that no longer stand. */
  learnVms(vms: readonly Vm[], at: Moment): readonly string[] {
    this.membership.learnVms(vms, at);
    for (const { id, state, role } of vms) {
      if (state === "leaving" && (role === "engine" || role === "service")) {
        this.mark(id, { reason: "leaving", at });
      }
    }
    this.#spreadMembers(at, undefined);
    return this.marks.settle(at);
  }

  /** Marks an upstream that takes no new work; returns whether it is new. */
  mark(
    upstream: string,
    { reason, at }: { readonly reason: string; readonly at: Moment },
  ): boolean {
    return this.#learnMark({ upstream, reason, at: at.wall }, { at });
  }

  /** Takes an accepted configuration; peers that know less hear of it. */
  learnConfiguration(configuration: Document): void {
    const { version } = configuration;
    if (version <= this.#version) {
      return;
    }
    this.#version = version;
    const document = JSON.stringify(configuration);
    this.#configurations.set(version, { version, document });
    const { keptVersions = defaultKeptVersions } = this.#options;
    for (const old of [...this.#configurations.keys()].sort((a, b) => a - b)) {
      if (this.#configurations.size > keptVersions) {
        this.#configurations.delete(old);
      }
    }
    this.#exchange.announce(version);
  }

  /** States this process's work in flight; only what changed is sent. */
  setShares(shares: readonly PeerWork[], at: Moment): void {
    const next = new Map(shares.map((share) => [share.engine, share]));
    for (const { key, value } of this.#exchange.store.of("shares")) {
      const told = value.running !== 0 || value.tokens !== 0;
      if (!next.has(key) && told) {
        const idle = { engine: key, running: 0, tokens: 0 };
        this.#exchange.change("shares", { key, value: idle }, { at });
      }
    }
    for (const [key, share] of next) {
      const value: EngineShare = { ...share };
      const known = this.#exchange.store.get("shares", key)?.value;
      if (
        known?.running !== share.running || known.tokens !== share.tokens
      ) {
        this.#exchange.change("shares", { key, value }, { at });
      }
    }
  }

  /** States counts of output lengths that changed. */
  setLengths(sketches: readonly Sketch[], at: Moment): void {
    for (const { workClass, model, counts } of sketches) {
      const key = `${workClass}\n${model}`;
      const value: LengthSketch = { workClass, model, counts: [...counts] };
      this.#exchange.change("lengths", { key, value }, { at });
    }
  }

  /** States who holds a duty. */
  setDuty(record: DutyHolder, at: Moment): void {
    this.#learnDuty(record, { at });
  }

  /** Returns the process that holds a duty and is believed to live. */
  holderOf(duty: string): Member | null {
    const holder = this.duties.get(duty)?.holder ?? "";
    const member = this.membership.get(holder);
    return member?.state === "live" ? member : null;
  }

  /** Returns the work in flight that a peer told, where it told any. */
  loadOf(id: string): number | undefined {
    const works = this.#works.get(id);
    return works === undefined
      ? undefined
      : [...works.values()].reduce((sum, { running }) => sum + running, 0);
  }

  /** Returns what was learned since the last call. */
  takeNews(): News<Document> {
    const news = this.#news;
    this.#news = emptyNews<Document>();
    return news;
  }

  /** Does what is due and returns the messages to send. */
  poll(at: Moment): readonly Send[] {
    this.membership.expire(at);
    this.#spreadMembers(at, undefined);
    if (at.monotonic >= this.#reviewAt) {
      this.#review(at);
    }
    return this.#exchange.due(this.#heading(), at);
  }

  /** Takes a peer's message and returns the reply. */
  receive(message: ExchangeMessage__Output, at: Moment): ExchangeMessage {
    const address = this.membership.get(message.sender)?.peers ?? "";
    const link = this.#exchange.link(message.sender, address, at);
    if (link === null) {
      return { ...this.#heading(), full: false };
    }
    this.#exchange.identify(link, message.epoch, at);
    link.acknowledged(message.acknowledged);
    const late = message.sequence <= link.requested;
    link.requested = Math.max(link.requested, message.sequence);
    this.#absorb(message, link, { at, late });
    const { full, configurationVersion } = message;
    const reply = this.#exchange.reply(link, this.#heading(), { full, at });
    const configurations = this.#configurationsAfter(configurationVersion);
    return { ...reply, configurations };
  }

  /** Takes the reply to a message that was sent. */
  replied(peer: string, reply: ExchangeMessage__Output, at: Moment): void {
    const address = this.membership.get(peer)?.peers ?? "";
    const link = this.#exchange.link(peer, address, at);
    if (link === null || reply.sender !== peer) {
      this.failed(peer, at);
      return;
    }
    this.#exchange.arrived(link, at);
    this.#exchange.identify(link, reply.epoch, at);
    const late = reply.sequence <= link.replied;
    link.replied = reply.sequence;
    this.#full += 1;
    this.#absorb(reply, link, { at, late });
    if (reply.configurationVersion <= this.#version) {
      this.#answered.add(peer);
    }
  }

  /** Notes that a message was not answered. */
  failed(peer: string, at: Moment): void {
    this.#exchange.failed(peer, at);
    if (!this.#isAlone(at)) {
      this.membership.failed(peer, at);
      this.#spreadMembers(at, undefined);
    }
  }

  /** Returns whether no peer answers, so that the fault is on this side. */
  #isAlone(at: Moment): boolean {
    const { links } = this.#exchange;
    const silent = links.filter(({ heardAt }) =>
      at.monotonic - heardAt > silentMs
    );
    return links.length >= aloneLinks && silent.length === links.length;
  }

  #heading(): Heading {
    const { id, epoch } = this.#options;
    return {
      sender: id,
      epoch,
      configurationVersion: this.#version,
      full: this.#full < fullReplies,
    };
  }

  #absorb(
    message: ExchangeMessage__Output,
    link: Link,
    { at, late }: { readonly at: Moment; readonly late: boolean },
  ): void {
    const from = link.id;
    link.heardAt = at.monotonic;
    link.version = Math.max(link.version, message.configurationVersion);
    for (const record of message.members) {
      this.#learnMember(record, { at, link });
    }
    this.membership.heard(from, message.epoch);
    this.#checkSender(message, link);
    this.#spreadMembers(at, from);
    for (const { upstream, reason, at: wall } of message.marks) {
      this.#learnMark({ upstream, reason, at: wall }, { at, from });
      link.remove("marks", upstream);
    }
    for (const record of message.duties) {
      this.#learnDuty(record, { at, from });
    }
    if (!late) {
      this.#learnShares(from, message.shares);
    }
    if (message.lengths.length > 0) {
      const known = this.#news.lengths.get(from) ?? [];
      this.#news.lengths.set(from, [...known, ...message.lengths]);
    }
    this.#learnConfigurations(message.configurations);
    link.urgent ||= message.configurationVersion > this.#version;
  }

  #learnMember(
    record: ExchangeMessage__Output["members"][number],
    { at, link }: { readonly at: Moment; readonly link: Link },
  ): void {
    const state = record.state as MemberState;
    const role = record.role as MemberRole;
    if (!(state in memberStates) || !(role === "entry" || role === "steward")) {
      return;
    }
    const news = this.membership.learn({ ...record, state, role }, at);
    if (!news && this.membership.get(record.id)?.state === state) {
      link.remove("members", record.id);
    }
  }

  /** Gives a peer that does not know this run of it its own record. */
  #checkSender(message: ExchangeMessage__Output, link: Link): void {
    const record = this.membership.get(message.sender);
    if (record === undefined || record.state === "live") {
      link.address = record?.peers ?? link.address;
      return;
    }
    link.address = record.peers;
    const known = this.#exchange.store.get("members", message.sender);
    if (known !== undefined) {
      link.add("members", message.sender);
    }
  }

  #learnMark(
    mark: Mark,
    { at, from }: { readonly at: Moment; readonly from?: string },
  ): boolean {
    const { upstream, reason } = mark;
    if (!this.marks.learn(mark, at)) {
      return false;
    }
    const value = { upstream, reason, at: mark.at };
    const origin = from === undefined ? {} : { from };
    this.#exchange.change("marks", { key: upstream, value }, {
      at,
      urgent: true,
      ...origin,
    });
    this.#news.marks.push(mark);
    return true;
  }

  #learnDuty(
    record: DutyHolder,
    { at, from }: { readonly at: Moment; readonly from?: string },
  ): void {
    if (!this.duties.learn(record, at)) {
      return;
    }
    const { duty, holder, fence } = record;
    const origin = from === undefined ? {} : { from };
    this.#exchange.change(
      "duties",
      { key: duty, value: { duty, holder, fence } },
      { at, urgent: true, ...origin },
    );
  }

  #learnShares(
    from: string,
    shares: ExchangeMessage__Output["shares"],
  ): void {
    if (shares.length === 0) {
      return;
    }
    const works = this.#works.get(from) ?? new Map<string, PeerWork>();
    this.#works.set(from, works);
    for (const share of shares) {
      if (share.running === 0 && share.tokens === 0) {
        works.delete(share.engine);
      } else {
        works.set(share.engine, share);
      }
    }
    this.#news.shares.set(from, [...works.values()]);
  }

  #learnConfigurations(
    records: ExchangeMessage__Output["configurations"],
  ): void {
    for (const { version, document } of records) {
      const configuration = this.#parseConfiguration(document);
      if (configuration !== null && version > this.#version) {
        this.learnConfiguration(configuration);
        this.#news.configurations.push(configuration);
      }
    }
  }

  #parseConfiguration(document: string): Document | null {
    try {
      return this.#readConfiguration(JSON.parse(document));
    } catch {
      return null;
    }
  }

  #configurationsAfter(version: number): ConfigurationRecord[] {
    return [...this.#configurations]
      .filter(([each]) => each > version)
      .sort(([a], [b]) => a - b)
      .map(([, record]) => record);
  }

  #spreadMembers(at: Moment, from: string | undefined): void {
    for (const id of this.membership.takeChanged()) {
      const record = this.membership.get(id);
      this.#reviewAt = 0;
      if (record === undefined) {
        continue;
      }
      this.#news.members.push(record);
      this.#dropWorkOf(record);
      if (record.epoch !== "") {
        const known = this.#exchange.store.get("members", id)?.value.state;
        const urgent = record.state !== "live" ||
          (known !== undefined && known !== "live");
        const origin = from === undefined ? {} : { from };
        this.#exchange.change("members", { key: id, value: { ...record } }, {
          at,
          urgent,
          ...origin,
        });
      }
    }
  }

  #dropWorkOf({ id, state }: Member): void {
    if (state === "gone" && this.#works.delete(id)) {
      this.#news.shares.set(id, []);
    }
  }

  #review(at: Moment): void {
    this.#reviewAt = at.monotonic + reviewMs;
    const { self } = this.membership;
    const members = this.membership.all();
    const peers = [...choosePeers(self, members, this.#options.fanOut)];
    if (at.monotonic >= this.#probeAt) {
      this.#probeAt = at.monotonic + this.#random.jitter(probeMs, 0.2);
      const lost = this.membership.lost();
      const probe = lost[this.#random.below(Math.max(1, lost.length))];
      peers.push(...(probe === undefined ? [] : [probe]));
    }
    this.#exchange.setPeers(peers, at);
    this.#forgetItems();
  }

  #forgetItems(): void {
    for (const { key } of this.#exchange.store.of("members")) {
      if (this.membership.get(key) === undefined) {
        this.#exchange.store.delete("members", key);
      }
    }
    for (const { key } of this.#exchange.store.of("marks")) {
      if (this.marks.get(key) === undefined) {
        this.#exchange.store.delete("marks", key);
      }
    }
  }
}

/** Milliseconds after which a link is silent; above the longest period. */
const silentMs = 1_500;

/** Links from which on silence on all says that this process is alone. */
const aloneLinks = 3;

interface MutableNews<Document> {
  readonly marks: Mark[];
  readonly configurations: Document[];
  readonly shares: Map<string, readonly PeerWork[]>;
  readonly lengths: Map<string, readonly Sketch[]>;
  readonly members: Member[];
}

function emptyNews<Document>(): MutableNews<Document> {
  return {
    marks: [],
    configurations: [],
    shares: new Map(),
    lengths: new Map(),
    members: [],
  };
}

function readStatement(document: unknown): Configuration | null {
  const parsed = configurationSchema.safeParse(document);
  return parsed.success ? parsed.data : null;
}
