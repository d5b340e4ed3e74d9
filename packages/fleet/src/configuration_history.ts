import type {
  ConfigurationRecord,
  ConfigurationRecord__Output,
  ExchangeMessage__Output,
} from "@lavenderferry/protocol";
import type { Versioned } from "./fleet_updates.ts";

/** Number of configuration versions retained for peers that lag behind. */
const defaultKeptVersions = 8;

/** The latest configurations of a process, for peers that lag behind. */
export class ConfigurationHistory<Document extends Versioned> {
  readonly #read: (document: unknown) => Document | null;
  readonly #keptVersions: number;
  readonly #documents = new Map<number, Document>();
  /** Documents as JSON, for peers of earlier builds. */
  readonly #records = new Map<number, ConfigurationRecord>();
  /** Newest version that a peer has stated, and when it was confirmed. */
  #stated = { version: 0, confirmedAt: -Infinity };
  #version = 0;
  #confirmedAt = -Infinity;

  /** `read` parses a document of a peer; it returns `null` if it is invalid. */
  constructor(
    read: (document: unknown) => Document | null,
    keptVersions = defaultKeptVersions,
  ) {
    this.#read = read;
    this.#keptVersions = keptVersions;
  }

  /** Version of the newest configuration; 0 if there is none. */
  get version(): number {
    return this.#version;
  }

  /**
   * Monotonic milliseconds at which the configuration was last known to be the
   * platform's newest.
   */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Adds a configuration; returns whether it is newer than the known one. */
  add(configuration: Document): boolean {
    const { version } = configuration;
    if (version <= this.#version) {
      return false;
    }
    this.#version = version;
    this.#documents.set(version, configuration);
    const versions = [...this.#documents.keys()].sort((a, b) => a - b);
    for (const oldVersion of versions) {
      if (this.#documents.size > this.#keptVersions) {
        this.#documents.delete(oldVersion);
        this.#records.delete(oldVersion);
      }
    }
    if (this.#stated.version === version) {
      this.confirm(this.#stated.confirmedAt);
    }
    return true;
  }

  /** Records that the newest configuration was the platform's at a time. */
  confirm(confirmedAt: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
  }

  /** Adds to the age time that the monotonic clock did not count. */
  addAge(milliseconds: number): void {
    this.#confirmedAt -= milliseconds;
    const { version, confirmedAt } = this.#stated;
    this.#stated = { version, confirmedAt: confirmedAt - milliseconds };
  }

  /**
   * Learns from a peer how old its knowledge of its configuration is, which counts
   * here once the same version is in force. `sentAt` is when its reply was asked
   * for; `-Infinity` for a request.
   */
  confirmBy(
    { configurationVersion, configurationAgeMs }: Pick<
      ExchangeMessage__Output,
      "configurationVersion" | "configurationAgeMs"
    >,
    sentAt: number,
  ): void {
    const ageMs = configurationAgeMs ?? -1;
    const confirmedAt = ageMs >= 0 ? sentAt - ageMs : -Infinity;
    if (configurationVersion === this.#version) {
      this.confirm(confirmedAt);
    } else if (configurationVersion > this.#version) {
      this.#state(configurationVersion, confirmedAt);
    }
  }

  /** Returns a peer's document if it is valid and newer, else `null`. */
  readNewer(
    { version, document }: ConfigurationRecord__Output,
  ): Document | null {
    return version > this.#version ? this.#parse(document) : null;
  }

  /** Returns the records after a version, the oldest first. */
  after(version: number): ConfigurationRecord[] {
    return [...this.#documents]
      .filter(([stored]) => stored > version)
      .sort(([a], [b]) => a - b)
      .map(([stored, document]) => this.#recordOf(stored, document));
  }

  #recordOf(version: number, configuration: Document): ConfigurationRecord {
    const record = this.#records.get(version) ??
      { version, document: JSON.stringify(configuration) };
    this.#records.set(version, record);
    return record;
  }

  #state(version: number, confirmedAt: number): void {
    const isSame = version === this.#stated.version;
    if (version > this.#stated.version) {
      this.#stated = { version, confirmedAt };
    } else if (isSame && confirmedAt > this.#stated.confirmedAt) {
      this.#stated = { version, confirmedAt };
    }
  }

  #parse(document: string): Document | null {
    try {
      return this.#read(JSON.parse(document));
    } catch {
      return null;
    }
  }
}
