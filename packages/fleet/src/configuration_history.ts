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
  readonly #records = new Map<number, ConfigurationRecord>();
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
    const document = JSON.stringify(configuration);
    this.#records.set(version, { version, document });
    const versions = [...this.#records.keys()].sort((a, b) => a - b);
    for (const oldVersion of versions) {
      if (this.#records.size > this.#keptVersions) {
        this.#records.delete(oldVersion);
      }
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
  }

  /**
   * Learns from a peer how old its knowledge of the same configuration is.
   * `sentAt` is when its reply was asked for; `-Infinity` for a request.
   */
  confirmBy(
    { configurationVersion, configurationAgeMs }: Pick<
      ExchangeMessage__Output,
      "configurationVersion" | "configurationAgeMs"
    >,
    sentAt: number,
  ): void {
    const isSame = configurationVersion === this.#version;
    if (isSame && configurationAgeMs !== undefined && configurationAgeMs >= 0) {
      this.confirm(sentAt - configurationAgeMs);
    }
  }

  /** Returns a peer's document if it is valid and newer, else `null`. */
  readNewer(
    { version, document }: ConfigurationRecord__Output,
  ): Document | null {
    const configuration = this.#parse(document);
    return version > this.#version ? configuration : null;
  }

  /** Returns the records after a version, the oldest first. */
  after(version: number): ConfigurationRecord[] {
    return [...this.#records]
      .filter(([stored]) => stored > version)
      .sort(([a], [b]) => a - b)
      .map(([, record]) => record);
  }

  #parse(document: string): Document | null {
    try {
      return this.#read(JSON.parse(document));
    } catch {
      return null;
    }
  }
}
