import type { Configuration } from "./configuration.ts";
import { emptyConfiguration } from "./configuration.ts";

/**
 * The versions that a process knows, which may have gaps, and the times at
 * which they take effect. The highest known version never decreases.
 */
export class Timeline {
  #versions: Configuration[] = [emptyConfiguration];

  /** The highest known version, which may not be in force yet. */
  get latest(): Configuration {
    return this.#versions.at(-1) ?? emptyConfiguration;
  }

  /** The known versions that an operator has stated, oldest first. */
  get versions(): readonly Configuration[] {
    return this.#versions.filter(({ version }) => version > 0);
  }

  /** Adds a version and returns true if it is newer than all known ones. */
  add(configuration: Configuration): boolean {
    if (configuration.version <= this.latest.version) {
      return false;
    }
    this.#versions.push(configuration);
    return true;
  }

  /** Returns the version in force at a wall-clock time. */
  at(wallMs: number): Configuration {
    const found = this.#versions.findLast((configuration) =>
      configuration.effectiveAt <= wallMs
    );
    return found ?? emptyConfiguration;
  }

  /** Removes the versions that were replaced before a wall-clock time. */
  trim(wallMs: number): void {
    const current = this.at(wallMs);
    this.#versions = this.#versions.filter((configuration) =>
      configuration.version >= current.version
    );
  }
}
