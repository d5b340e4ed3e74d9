import { KnownError } from "@lavenderferry/errors";
import type { Configuration } from "./configuration.ts";
import { emptyConfiguration } from "./configuration.ts";
import type { ConfigurationStore } from "./configuration_store.ts";

const pageVersions = 32;
const keptVersions = 64;

/**
 * The versions of a range of time without gaps, read from the table on demand.
 * Unlike a `Timeline`, which may skip versions, it can tell what was in force
 * at each instant.
 */
export class VersionHistory {
  readonly #store: ConfigurationStore;
  #versions: Configuration[] = [];

  constructor(store: ConfigurationStore) {
    this.#store = store;
  }

  /**
   * Loads every version in force from the first wall time on, and returns the
   * wall time up to which no version can be missing: a version accepted later
   * takes force later.
   */
  async cover(from: number, now: number): Promise<number> {
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

  /** Returns the version in force at a wall time within the loaded range. */
  at(wall: number): Configuration {
    const found = this.#versions.findLast((each) => each.effectiveAt <= wall);
    return found ?? emptyConfiguration;
  }

  get #oldest(): Configuration {
    return this.#versions[0] ?? emptyConfiguration;
  }

  async #readNewer(): Promise<void> {
    for (;;) {
      const { version } = this.#versions.at(-1) ?? emptyConfiguration;
      const newer = await this.#store.readAfter(version, pageVersions);
      this.#versions.push(...newer);
      if (newer.length < pageVersions) {
        return;
      }
    }
  }

  async #readOlder(): Promise<void> {
    const { version } = this.#oldest;
    const after = Math.max(0, version - 1 - pageVersions);
    const limit = version - 1 - after;
    const older = limit === 0 ? [] : await this.#store.readAfter(after, limit);
    if (older.length < limit) {
      throw new KnownError(`Versions before ${version} are missing`, {
        kind: "internal",
      });
    }
    this.#versions.unshift(...older);
    if (after === 0) {
      this.#versions.unshift(emptyConfiguration);
    }
  }

  /** Keeps what the last range needs, and a few versions before it. */
  #trim(from: number): void {
    const needed = this.#versions.findLastIndex((each) =>
      each.effectiveAt <= from
    );
    const spare = Math.max(0, this.#versions.length - keptVersions);
    this.#versions.splice(0, Math.max(0, Math.min(needed, spare)));
  }
}
