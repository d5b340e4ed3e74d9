import type {
  ConfigurationRecord,
  ExchangeMessage__Output,
} from "@lavenderferry/protocol";
import type { Random } from "@lavenderferry/runtime";
import { ConfigurationHistory } from "./configuration_history.ts";
import type { ViewSource } from "./documents/document_exchange.ts";
import { DocumentExchange } from "./documents/document_exchange.ts";
import { findSources } from "./documents/find_sources.ts";
import type { Exchange } from "./exchange.ts";
import type { FleetNodeOptions } from "./fleet_node_options.ts";
import type { Versioned } from "./fleet_updates.ts";
import type { Link } from "./link.ts";
import type { Membership } from "./membership.ts";
import { readConfiguration } from "./read_configuration.ts";
import type { ReaderRank } from "./readers.ts";

/** Parts of a process that its relay of configurations uses. */
export interface ConfigurationRelayParts {
  readonly membership: Membership;
  readonly exchange: Exchange;
  readonly random: Random;
  /** Returns how soon this process reads the platform's store itself. */
  readonly readerRank: () => ReaderRank;
}

/** Passes configurations on between processes. */
export class ConfigurationRelay<Document extends Versioned> {
  readonly history: ConfigurationHistory<Document>;
  /** The transfer of configurations; `null` if they are part of exchanges. */
  readonly documents: DocumentExchange | null;
  readonly #options: FleetNodeOptions<Document>;
  readonly #parts: ConfigurationRelayParts;

  constructor(
    options: FleetNodeOptions<Document>,
    parts: ConfigurationRelayParts,
  ) {
    this.#options = options;
    this.#parts = parts;
    this.history = new ConfigurationHistory(
      options.readConfiguration ??
        ((document) => readConfiguration(document) as Document | null),
      options.keptVersions,
    );
    this.documents = options.readsDocuments === true
      ? new DocumentExchange(
        options.id,
        parts.random,
        () => this.#viewDocuments(),
      )
      : null;
  }

  /** Applies an accepted configuration and announces it to peers without it. */
  add(configuration: Document): void {
    if (this.history.add(configuration)) {
      this.documents?.add(configuration);
      this.#parts.exchange.announceVersion(configuration.version);
    }
  }

  /**
   * Applies a peer's message and returns its configurations that are newer.
   * `sentAt` is when a reply was asked for; `-Infinity` for a request.
   */
  apply(
    message: ExchangeMessage__Output,
    link: Link,
    sentAt: number,
  ): readonly Document[] {
    const newer: Document[] = [];
    for (const record of message.configurations) {
      const configuration = this.history.readNewer(record);
      if (configuration !== null) {
        this.add(configuration);
        newer.push(configuration);
      }
    }
    this.history.confirmBy(message, sentAt);
    link.urgent ||= !this.#transfersTo(link) &&
      message.configurationVersion > this.history.version;
    return newer;
  }

  /** Returns the records after a version that a reply to a peer carries. */
  recordsFor(link: Link, version: number): ConfigurationRecord[] {
    return this.#transfersTo(link) ? [] : this.history.after(version);
  }

  /** Whether a peer and this process read configurations by calls of their own. */
  #transfersTo(link: Link): boolean {
    return this.documents !== null && link.readsDocuments;
  }

  #viewDocuments(): ReturnType<ViewSource> {
    const { version: heldVersion } = this.history;
    const { membership, exchange, readerRank } = this.#parts;
    return {
      heldVersion,
      sources: findSources(exchange.links, { heldVersion, membership }),
      readsStore: this.#options.freshnessMs !== undefined &&
        readerRank() === "reader",
    };
  }
}
