import type { StoreVersion } from "@lavenderferry/platform";
import type {
  EvacuationNews,
  EvacuationNews__Output,
} from "@lavenderferry/protocol";
import type { Moment } from "@lavenderferry/runtime";

/** The data centres under evacuation, as one version of the store lists them. */
export interface EvacuationList {
  readonly version: StoreVersion;
  readonly dataCentres: readonly string[];
}

/** Limit on the data centres of a list, which bounds messages and memory. */
const maxDataCentres = 256;

/**
 * The data centres under evacuation, as the platform's store listed them when it
 * was last read, here or at a peer. A list of a later version of the store
 * replaces an earlier one; versions contain the era, so the list of a restored
 * store replaces those of its former eras.
 */
export class Evacuations {
  #dataCentres: ReadonlySet<string> = new Set();
  /** `null` until the first list is known. */
  #version: StoreVersion | null = null;
  #changedIn: StoreVersion = 0;
  #confirmedAt = -Infinity;

  /** Whether a list of the store is known. */
  get isKnown(): boolean {
    return this.#version !== null;
  }

  /** The data centres to whose upstreams nothing is sent. */
  get dataCentres(): ReadonlySet<string> {
    return this.#dataCentres;
  }

  /** Version of the store at which the list was read; 0 if none is known. */
  get version(): StoreVersion {
    return this.#version ?? 0;
  }

  /** Version of the first list with the same data centres. */
  get changedIn(): StoreVersion {
    return this.#changedIn;
  }

  /** Monotonic milliseconds at which the list was last known to be in force. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Adds to the age time that the monotonic clock did not count. */
  addAge(milliseconds: number): void {
    this.#confirmedAt -= milliseconds;
  }

  /**
   * Applies a list that the store was asked for at `askedAt`, unless a later one
   * is known; returns whether the data centres have changed.
   */
  read({ version, dataCentres }: EvacuationList, askedAt: number): boolean {
    if (this.#version !== null && version < this.#version) {
      return false;
    }
    this.#confirmedAt = Math.max(this.#confirmedAt, askedAt);
    this.#version = version;
    const later = new Set([...dataCentres].sort().slice(0, maxDataCentres));
    const known = this.#dataCentres;
    const isSame = later.size === known.size &&
      [...later].every((dataCentre) => known.has(dataCentre));
    if (isSame) {
      return false;
    }
    this.#dataCentres = later;
    this.#changedIn = version;
    return true;
  }

  /**
   * Applies a peer's list; returns whether the data centres have changed.
   * `sentAt` is when its reply was asked for; `-Infinity` for a request, which
   * may have been on its way for any time.
   */
  merge(
    { version, ageMs, dataCentres }: EvacuationNews__Output,
    sentAt: number,
  ): boolean {
    const isValid = Number.isSafeInteger(version) && version >= 0;
    if (!isValid) {
      return false;
    }
    const askedAt = ageMs >= 0 ? sentAt - ageMs : -Infinity;
    if (this.#version === null || version > this.#version) {
      return this.read({ version, dataCentres }, askedAt);
    }
    if (version >= this.#changedIn) {
      // The peer has read the same data centres at that version.
      this.#confirmedAt = Math.max(this.#confirmedAt, askedAt);
    }
    return false;
  }

  /** Returns the news for peers; `null` before the first list. */
  newsAt({ monotonic: now }: Moment): EvacuationNews | null {
    if (this.#version === null) {
      return null;
    }
    return {
      version: this.#version,
      // An age that is not known is negative.
      ageMs: this.#confirmedAt === -Infinity ? -1 : now - this.#confirmedAt,
      dataCentres: [...this.#dataCentres],
    };
  }
}
