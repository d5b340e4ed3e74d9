import { KnownError } from "@lavenderferry/errors";
import type { Configuration } from "./configuration.ts";
import { emptyConfiguration } from "./configuration.ts";
import type { ConfigurationStore } from "./configuration_store.ts";

const versionsPerPage = 32;
const minKeptVersions = 64;

/**
 * All versions in a range of time, read from the table on demand. Unlike a
 * `Timeline`, which may have gaps, it gives the version in force at every
 * instant of the range.
 */
export class VersionHistory {
  readonly #store: ConfigurationStore;
  #versions: Configuration[] = [];

  constructor(store: ConfigurationStore) {
    this.#store = store;
  }

  /**
   * Loads every version in force since `from`. Returns `now`, up to which no
   * version can be missing: one that is accepted later takes effect later. Both
   * are in milliseconds since the Unix epoch.
   */
  async loadVersions(from: number, now: number): Promise<number> {
    if (this.#versions.length === 0) {
      this.#versions = [await this.#store.readLatest()];
    }
    await this.#readNewer();
    while (this.#oldest.effectiveAt > from && this.#oldest.version > 0) {
      await this.#readOlder();
    }
    this.#trim(from);
    return now;
  }

  /** Returns the version in force at a wall-clock time in the range. */
  at(wallMs: number): Configuration {
    const found = this.#versions.findLast((configuration) =>
      configuration.effectiveAt <= wallMs
    );
    return found ?? emptyConfiguration;
  }

  get #oldest(): Configuration {
    return this.#versions[0] ?? emptyConfiguration;
  }

  async #readNewer(): Promise<void> {
    for (;;) {
      const { version } = this.#versions.at(-1) ?? emptyConfiguration;
      const newer = await this.#store.readAfter(version, versionsPerPage);
      this.#versions.push(...newer);
      if (newer.length < versionsPerPage) {
        return;
      }
    }
  }

  async #readOlder(): Promise<void> {
    const { version } = this.#oldest;
    const after = Math.max(0, version - 1 - versionsPerPage);
    const limit = version - 1 - after;
    const older = limit === 0 ? [] : await this.#store.readAfter(after, limit);
    if (older.length < limit) {
      throw new KnownError(
        `Configuration versions before ${version} are missing`,
        { kind: "internal" },
      );
    }
    this.#versions.unshift(...older);
    if (after === 0) {
      this.#versions.unshift(emptyConfiguration);
    }
  }

  /** Removes old versions that the range does not need, but keeps a minimum. */
  #trim(from: number): void {
    const firstNeeded = this.#versions.findLastIndex((configuration) =>
      configuration.effectiveAt <= from
    );
    const excess = Math.max(0, this.#versions.length - minKeptVersions);
    this.#versions.splice(0, Math.max(0, Math.min(firstNeeded, excess)));
  }
}
