import type { Configuration } from "@lavenderferry/configuration";
import type { Vm } from "@lavenderferry/platform";
import type {
  ExchangeMessage,
  ExchangeMessage__Output,
  RequestLimitRecord__Output,
} from "@lavenderferry/protocol";
import type { Moment } from "@lavenderferry/runtime";
import { Random } from "@lavenderferry/runtime";
import { applyMemberRecord } from "./apply_member_record.ts";
import { collectPeerRecords } from "./collect_peer_records.ts";
import type { DutyHolder } from "./duty_directory.ts";
import { DutyDirectory } from "./duty_directory.ts";
import { DutyRelay } from "./duty_relay.ts";
import { EvacuationRelay } from "./evacuation_relay.ts";
import type { MessageHeader, OutgoingMessage } from "./exchange.ts";
import { Evacuations } from "./evacuations.ts";
import type { EvacuationList } from "./evacuations.ts";
import { Exchange } from "./exchange.ts";
import { ConfigurationRelay } from "./configuration_relay.ts";
import type { DocumentExchange } from "./documents/document_exchange.ts";
import type { FleetNodeOptions } from "./fleet_node_options.ts";
import { publishMember } from "./publish_member.ts";
import {
  publishLengths,
  publishLimit,
  publishSuspect,
} from "./publish_records.ts";
import { publishShares } from "./publish_shares.ts";
import { PeerWorkTable } from "./peer_work_table.ts";
import { LeavingUpstreams } from "./leaving_upstreams.ts";
import type { Link } from "./link.ts";
import { ListRelay } from "./list_relay.ts";
import { MarkRelay } from "./mark_relay.ts";
import { markReasons, Marks } from "./marks.ts";
import type { Member } from "./member.ts";
import { Membership } from "./membership.ts";
import type {
  FleetUpdates,
  LengthCounts,
  PeerWork,
  Versioned,
} from "./fleet_updates.ts";
import { createUpdates } from "./fleet_updates.ts";
import { PeerReview } from "./peer_review.ts";
import { queueSenderRecord } from "./queue_sender_record.ts";
import type { ReaderRank } from "./readers.ts";
import { rankOf, rankReaders } from "./readers.ts";
import type { SuspectRecord } from "./suspect_record.ts";
import type { ListedUpstreams, UpstreamList } from "./upstream_list.ts";

/** Number of replies for which a joining process requests the full state. */
const fullStateReplies = 2;

/** Longest time between two polls, which bounds how late a timer is. */
const maxPollIntervalMs = 250;

/** Longest time between reviews of the choice of peers. */
const peerReviewIntervalMs = 5_000;

/**
 * The fleet protocol of one process: its view of members, marks, duties and the
 * configuration, and the messages that disseminate it. It does no I/O and reads
 * no clock; the caller passes in the time and sends the messages.
 */
export class FleetNode<Document extends Versioned = Configuration> {
  readonly membership: Membership;
  readonly marks = new Marks();
  readonly duties = new DutyDirectory();
  /** The data centres under evacuation, as read here or at a peer. */
  readonly evacuations = new Evacuations();
  readonly #options: FleetNodeOptions<Document>;
  readonly #exchange: Exchange;
  readonly #configurations: ConfigurationRelay<Document>;
  readonly #peerWork = new PeerWorkTable();
  readonly #confirmedBy = new Set<string>();
  readonly #listRelay: ListRelay;
  readonly #markRelay: MarkRelay;
  readonly #dutyRelay: DutyRelay;
  readonly #evacuationRelay: EvacuationRelay;
  readonly #leaving = new LeavingUpstreams();
  readonly #peerReview: PeerReview;
  #rankedReaders: readonly Member[] | null = null;
  #storeEra = 0;
  #replyCount = 0;
  #nextReviewAt = 0;
  #updates = createUpdates<Document>();

  constructor(options: FleetNodeOptions<Document>, startedAt: number) {
    const { id, epoch, role, dataCentre, region, seed } = options;
    this.#options = options;
    const random = new Random(seed ^ Number.parseInt(epoch.slice(0, 6), 16));
    this.#listRelay = new ListRelay(
      this.marks,
      options.freshnessMs ?? Infinity,
    );
    this.#exchange = new Exchange(
      id,
      random,
      (link, at) => ({
        upstreams: this.#listRelay.newsFor(link, at),
        evacuations: this.evacuations.newsAt(at),
      }),
    );
    this.#markRelay = new MarkRelay(this.marks, this.#exchange);
    this.#dutyRelay = new DutyRelay(this.duties, this.#exchange);
    this.#evacuationRelay = new EvacuationRelay(
      this.evacuations,
      this.#exchange,
      options.followsEvacuations === true,
    );
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
    const { membership } = this;
    const exchange = this.#exchange;
    this.#configurations = new ConfigurationRelay(options, {
      membership,
      exchange,
      random,
      readerRank: () => this.readerRank,
    });
    this.#peerReview = new PeerReview(options, {
      membership,
      marks: this.marks,
      exchange,
      random,
    });
  }

  /** Number of peers whose replies stated no newer configuration version. */
  get configurationConfirmations(): number {
    return this.#confirmedBy.size;
  }

  /**
   * Whether this process exchanges with all others, and so knows all of their
   * work in flight.
   */
  get exchangesWithAll(): boolean {
    return this.#peerReview.isMesh;
  }

  /** The transfer of configurations; `null` if they are part of exchanges. */
  get documents(): DocumentExchange | null {
    return this.#configurations.documents;
  }

  /** Number of links to peers. */
  get linkCount(): number {
    return this.#exchange.links.length;
  }

  /**
   * Monotonic milliseconds at which the configuration was last known to be the
   * platform's newest.
   */
  get configurationConfirmedAt(): number {
    return this.#configurations.history.confirmedAt;
  }

  /** The platform's list of upstreams, as read here or at a peer. */
  get upstreams(): UpstreamList {
    return this.#listRelay.list;
  }

  /** How soon this process reads the platform's store itself. */
  get readerRank(): ReaderRank {
    return rankOf(this.#options.id, this.#readers);
  }

  /** Sets the addresses at which this process is reached. */
  setAddresses(address: string, peers: string): void {
    this.membership.updateSelf({ address, peers });
  }

  /** Announces that this process is leaving. */
  leave(at: Moment): void {
    this.membership.updateSelf({ state: "leaving" });
    this.#publishMembers(at, undefined);
  }

  /** Applies the platform's VM list, whose version is 0 if it counts none. */
  applyVmList(
    vms: readonly Vm[],
    at: Moment,
    { version: listVersion = 0 }: { readonly version?: number } = {},
  ): void {
    this.membership.applyVmList(vms, at);
    this.marks.removeExpired(at, listVersion);
    const { marks } = this;
    const reason = markReasons.leaving;
    const unmarked = this.#leaving.findUnmarked(vms, { listVersion, marks });
    for (const { id, version = 0 } of unmarked) {
      this.mark(id, { reason, version, at });
    }
    this.#publishMembers(at, undefined);
  }

  /**
   * Marks an upstream that takes no new work; returns whether it had no mark of
   * that version of the VM list or a newer one.
   */
  mark(
    upstream: string,
    { reason, version = 0, at }: {
      readonly reason: string;
      readonly version?: number;
      readonly at: Moment;
    },
  ): boolean {
    const mark = { upstream, reason, version, at: at.wall };
    const isNew = this.#markRelay.publish(mark, { at });
    if (isNew) {
      this.#updates.marks.push(mark);
    } else {
      this.marks.renew(mark, at);
    }
    return isNew;
  }

  /** Applies an accepted configuration and announces it to peers without it. */
  applyConfiguration(configuration: Document): void {
    this.#configurations.add(configuration);
  }

  /**
   * Records that the configuration was the platform's newest at `confirmedAt`,
   * in monotonic milliseconds.
   */
  confirmConfiguration(confirmedAt: number): void {
    this.#configurations.history.confirm(confirmedAt);
  }

  /**
   * Adds time that the monotonic clock did not count to the age of what this
   * process knows, and of what it has asked its peers.
   */
  addAge(milliseconds: number): void {
    this.#configurations.history.addAge(milliseconds);
    this.upstreams.addAge(milliseconds);
    this.evacuations.addAge(milliseconds);
    for (const link of this.#exchange.links) {
      link.requestSentAt -= milliseconds;
    }
  }

  /**
   * Applies a list of upstreams that the platform was asked for at `askedAt`,
   * in monotonic milliseconds, unless a later one is known.
   */
  readUpstreams(list: ListedUpstreams, askedAt: number): void {
    if (this.#listRelay.read(list, askedAt)) {
      this.#exchange.announceList(this.upstreams.version);
    }
  }

  /**
   * Applies the evacuations that the platform was asked for at `askedAt`, in
   * monotonic milliseconds; returns whether the data centres have changed.
   */
  readEvacuations(list: EvacuationList, askedAt: number): boolean {
    return this.#evacuationRelay.read(list, askedAt);
  }

  /** Sets the monotonic deadline until which unlisted upstreams are retained. */
  retainUnlisted(deadline: number): void {
    this.#listRelay.retainUnlisted(deadline);
  }

  /** Sets the latest era of the platform's table that this process has read. */
  setStoreEra(era: number): void {
    this.#storeEra = Math.max(this.#storeEra, era);
  }

  /** Publishes this process's work in flight; only changes are sent. */
  setShares(shares: readonly PeerWork[], at: Moment): void {
    publishShares(this.#exchange, shares, at);
  }

  /** Publishes counts of output lengths that changed. */
  setLengths(sketches: readonly LengthCounts[], at: Moment): void {
    publishLengths(this.#exchange, sketches, at);
  }

  /** Publishes a changed record of a suspect block. */
  setSuspect(record: SuspectRecord, at: Moment): void {
    publishSuspect(this.#exchange, record, at);
  }

  /** Stops sending the record of a suspect block. */
  removeSuspect(block: string): void {
    this.#exchange.store.delete("suspects", block);
  }

  /** Publishes a changed record of a limit on requests. */
  setLimit(value: RequestLimitRecord__Output, at: Moment): void {
    publishLimit(this.#exchange, value, at);
  }

  /** Stops sending the record of a limit on requests. */
  removeLimit(upstream: string): void {
    this.#exchange.store.delete("limits", upstream);
  }

  /** Publishes the holder of a duty. */
  setDuty(record: DutyHolder, at: Moment): void {
    this.#dutyRelay.publish(record, { at });
  }

  /** Returns the holder of a duty; `null` unless its member is live. */
  holderOf(duty: string): Member | null {
    const holder = this.duties.get(duty)?.holder ?? "";
    const member = this.membership.get(holder);
    return member?.state === "live" ? member : null;
  }

  /** Returns the requests that a peer reported as running, if it reported. */
  loadOf(id: string): number | undefined {
    return this.#peerWork.runningOf(id);
  }

  /** Returns the updates received since the last call. */
  takeUpdates(): FleetUpdates<Document> {
    const updates = this.#updates;
    this.#updates = createUpdates<Document>();
    return updates;
  }

  /** Runs due timers and returns the messages to send. */
  poll(at: Moment): readonly OutgoingMessage[] {
    this.membership.expire(at);
    this.#publishMembers(at, undefined);
    if (at.monotonic >= this.#nextReviewAt) {
      this.#reviewPeers(at);
    }
    return this.#exchange.buildDueRequests(this.#header(at), at);
  }

  /** Returns when `poll` must be called next, in monotonic milliseconds. */
  nextPollAt(at: Moment): number {
    return Math.min(
      at.monotonic + maxPollIntervalMs,
      this.#exchange.nextDueAt(at),
      this.documents?.nextDueAt(at.monotonic) ?? Infinity,
    );
  }

  /** Applies a peer's request and returns the reply. */
  receive(message: ExchangeMessage__Output, at: Moment): ExchangeMessage {
    const address = this.membership.get(message.sender)?.peers ?? "";
    const link = this.#exchange.openLink(message.sender, address, at);
    if (link === null) {
      return { ...this.#header(at), full: false };
    }
    this.#exchange.resetOnNewEpoch(link, message.epoch, at);
    link.acknowledgementReceived(message.acknowledged);
    const stale = message.sequence <= link.lastRequestSequence;
    link.lastRequestSequence = Math.max(
      link.lastRequestSequence,
      message.sequence,
    );
    this.#applyMessage(message, link, { at, stale, sentAt: -Infinity });
    const { full, configurationVersion } = message;
    const header = this.#header(at);
    const reply = this.#exchange.buildReply(link, header, { full, at });
    const configurations = this.#configurations.recordsFor(
      link,
      configurationVersion,
    );
    return { ...reply, configurations };
  }

  /** Applies a peer's reply to a request of this process. */
  receiveReply(peer: string, reply: ExchangeMessage__Output, at: Moment): void {
    const address = this.membership.get(peer)?.peers ?? "";
    const link = this.#exchange.openLink(peer, address, at);
    if (link === null || reply.sender !== peer) {
      this.requestFailed(peer, at);
      return;
    }
    this.#exchange.replyReceived(link, at);
    this.#exchange.resetOnNewEpoch(link, reply.epoch, at);
    const stale = reply.sequence <= link.lastReplySequence;
    link.lastReplySequence = reply.sequence;
    this.#replyCount += 1;
    const { requestSentAt: sentAt } = link;
    this.#applyMessage(reply, link, { at, stale, sentAt });
    if (reply.configurationVersion <= this.#configurations.history.version) {
      this.#confirmedBy.add(peer);
    }
  }

  /** Puts a configuration in force that was read from a peer, if it is newer. */
  applyDocument(document: Versioned): void {
    const configuration = document as Document;
    if (configuration.version > this.#configurations.history.version) {
      this.applyConfiguration(configuration);
      this.#updates.configurations.push(configuration);
    }
  }

  /** Records that a peer has sent something other than an exchange. */
  bytesReceived(peer: string, at: Moment): void {
    const link = this.#exchange.linkTo(peer);
    if (link !== undefined) {
      link.lastReceivedAt = at.monotonic;
    }
  }

  /**
   * Records a failed request; repeated failures make the peer suspected, unless
   * it has sent anything since the request.
   */
  requestFailed(peer: string, at: Moment): void {
    const isAlive = this.#exchange.linkTo(peer)?.hasReceivedSinceRequest;
    this.#exchange.requestFailed(peer, at);
    // The fault is then most likely on this side, not at the peers.
    if (isAlive !== true && !this.#exchange.isSilent(at)) {
      this.membership.recordFailure(peer, at);
      this.#publishMembers(at, undefined);
    }
  }

  #header(at: Moment): MessageHeader {
    const { id, epoch } = this.#options;
    const { confirmedAt, version } = this.#configurations.history;
    return {
      sender: id,
      epoch,
      configurationVersion: version,
      storeEra: this.#storeEra,
      full: this.#replyCount < fullStateReplies,
      readsDocuments: this.documents !== null,
      ...confirmedAt === -Infinity
        ? {}
        : { configurationAgeMs: at.monotonic - confirmedAt },
    };
  }

  #applyMessage(
    message: ExchangeMessage__Output,
    link: Link,
    { at, stale, sentAt }: {
      readonly at: Moment;
      readonly stale: boolean;
      /** When a reply was asked for; `-Infinity` for a request. */
      readonly sentAt: number;
    },
  ): void {
    const from = link.id;
    link.lastReceivedAt = at.monotonic;
    link.readsDocuments = message.readsDocuments;
    link.configurationVersion = Math.max(
      link.configurationVersion,
      message.configurationVersion,
    );
    for (const record of message.members) {
      applyMemberRecord(this.membership, record, { at, link });
    }
    this.membership.recordAnswer(from, message.epoch);
    queueSenderRecord(this.membership, this.#exchange, link);
    this.#publishMembers(at, from);
    for (const record of message.marks) {
      this.#applyPeerMark(record, { at, link });
    }
    for (const record of message.duties) {
      this.#dutyRelay.publish(record, { at, from });
    }
    collectPeerRecords(this.#updates, message, {
      from,
      stale,
      peerWork: this.#peerWork,
    });
    this.#updates.configurations.push(
      ...this.#configurations.apply(message, link, sentAt),
    );
    this.#applyNews(message.upstreams, link, { at, sentAt });
    this.#updates.evacuationsChanged =
      this.#evacuationRelay.apply(message.evacuations, link, sentAt) ||
      this.#updates.evacuationsChanged;
  }

  #applyNews(
    news: ExchangeMessage__Output["upstreams"],
    link: Link,
    { at, sentAt }: { readonly at: Moment; readonly sentAt: number },
  ): void {
    if (news === null) {
      return;
    }
    const effect = this.#listRelay.apply(news, link, { at, sentAt });
    const { upstreams, isChanged, isIncomplete } = effect;
    link.urgent ||= isIncomplete;
    this.#updates.upstreams = upstreams ?? this.#updates.upstreams;
    if (isChanged) {
      this.#exchange.announceList(this.upstreams.version);
    }
  }

  get #readers(): readonly Member[] {
    this.#rankedReaders ??= rankReaders(this.membership.all());
    return this.#rankedReaders;
  }

  #applyPeerMark(
    record: ExchangeMessage__Output["marks"][number],
    { at, link }: { readonly at: Moment; readonly link: Link },
  ): void {
    const mark = this.#markRelay.apply(record, { at, link });
    if (mark !== null) {
      this.#updates.marks.push(mark);
    }
  }

  #publishMembers(at: Moment, from: string | undefined): void {
    const { id: self } = this.#options;
    for (const id of this.membership.takeChangedIds()) {
      const record = this.membership.get(id);
      this.#nextReviewAt = 0;
      this.#rankedReaders = null;
      if (record === undefined) {
        continue;
      }
      this.#updates.members.push(record);
      this.#dropPeerWork(record);
      publishMember(this.#exchange, record, { self, from, at });
    }
  }

  #dropPeerWork({ id, state }: Member): void {
    if (state === "gone" && this.#peerWork.delete(id)) {
      this.#updates.shares.set(id, []);
    }
  }

  #reviewPeers(at: Moment): void {
    this.#nextReviewAt = at.monotonic + peerReviewIntervalMs;
    this.#peerReview.review(this.#readers, at);
    const linked = new Set(this.#exchange.links.map(({ id }) => id));
    for (const id of this.#peerWork.retain(linked)) {
      this.#updates.shares.set(id, []);
    }
  }
}
