import { randomUUID } from "node:crypto";
import type { Failure } from "@lavenderferry/errors";
import { KnownError, toFailure } from "@lavenderferry/errors";
import type { Json, Table, Write } from "@lavenderferry/platform";
import { z } from "zod";
import type { Configuration, Statement } from "./configuration.ts";
import { configurationSchema, emptyConfiguration } from "./configuration.ts";

/** A change that an operator requests. */
export interface Change {
  /** Version that the change is based on. */
  readonly ifVersion: number;
  readonly author: string;
  readonly statement: Statement;
  /** Milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
  /**
   * Earliest time to take effect, in milliseconds since the Unix epoch; a
   * multiple of `effectiveStepMs`.
   */
  readonly effectiveAt: number;
}

/** Changes take effect at multiples of this many milliseconds. */
export const effectiveStepMs = 1_000;

const headKey = "configuration/head";
const headSchema = z.object({
  version: z.int(),
  /** Milliseconds since the Unix epoch at which that version takes effect. */
  effectiveAt: z.number().default(0),
});
const maxAttempts = 5;

/** Delay of a commit, in milliseconds, that does not postpone its effect. */
const toleratedDelayMs = 250;

interface Head {
  readonly version: number;
  readonly effectiveAt: number;
  /** Version of the row; `null` when it does not exist. */
  readonly rowVersion: number | null;
}

/** Stores the versions of the configuration in the platform's table. */
export class ConfigurationStore {
  readonly #table: Table;
  readonly #now: () => number;

  constructor(table: Table, now: () => number = Date.now) {
    this.#table = table;
    this.#now = now;
  }

  /** Reads the newest version, or the empty configuration if there is none. */
  async readLatest(): Promise<Configuration> {
    const { version } = await this.#readHead();
    return version === 0 ? emptyConfiguration : this.readVersion(version);
  }

  /** Reads one version; fails with the kind `not_found`. */
  async readVersion(version: number): Promise<Configuration> {
    const configuration = await this.#findVersion(version);
    if (configuration === null) {
      throw new KnownError(`Configuration version ${version} does not exist`, {
        kind: "not_found",
      });
    }
    return configuration;
  }

  /** Reads up to `limit` versions after the given one, oldest first. */
  async readAfter(version: number, limit: number): Promise<Configuration[]> {
    const rows = await this.#table.scan("configuration/version/", "reports", {
      after: versionKey(version),
      limit,
    });
    return rows.map((row) => configurationSchema.parse(row.value));
  }

  /**
   * Accepts a change, or fails with the kind `conflict` when a newer version
   * exists. When the outcome of a commit is unknown, reads the version back and
   * compares its nonce; if that fails too, the failure's `notRun` is `unknown`.
   */
  async accept(change: Change): Promise<Configuration> {
    const head = await this.#readHead();
    if (head.version !== change.ifVersion) {
      throw conflict(change.ifVersion, head.version);
    }
    return await this.#write(change, head);
  }

  /**
   * Writes accepted versions, oldest first, that the table has lost because it
   * was restored from an older copy; returns those that were written. Another
   * process may do so at the same time.
   */
  async writeAgain(
    accepted: readonly Configuration[],
  ): Promise<readonly Configuration[]> {
    const head = await this.#readHead();
    const lost = accepted.filter(({ version }) => version > head.version);
    const newest = lost.at(-1);
    if (newest === undefined) {
      return [];
    }
    const writes = [
      createHeadWrite(newest, head),
      ...lost.map(createVersionWrite),
    ];
    const { kind } = await this.#table.commit(writes, "configuration");
    return kind === "committed" ? lost : [];
  }

  /**
   * Retries the commit, or reads it back, until its outcome is known. A retry
   * cannot apply the change twice: its conditions fail once an earlier attempt
   * has been applied.
   */
  async #write(change: Change, head: Head): Promise<Configuration> {
    const nonce = randomUUID();
    const startedAt = this.#now();
    let outcomeUnknown = false;
    for (let attempt = 1;; attempt++) {
      const delayMs = this.#now() - startedAt;
      const configuration = createVersion(change, head, { nonce, delayMs });
      try {
        const written = outcomeUnknown
          ? await this.#readOwn(configuration)
          : null;
        return written ?? await this.#commit(configuration, head);
      } catch (error) {
        const failure = toFailure(error);
        if (failure.kind === "conflict") {
          throw failure;
        }
        outcomeUnknown ||= failure.notRun !== true;
        if (attempt >= maxAttempts) {
          throw outcomeUnknown
            ? unknownOutcome(configuration, failure)
            : failure;
        }
      }
    }
  }

  async #commit(
    configuration: Configuration,
    head: Head,
  ): Promise<Configuration> {
    const writes = createWrites(configuration, head);
    const { kind } = await this.#table.commit(writes, "configuration");
    if (kind === "committed") {
      return configuration;
    }
    const { version } = configuration;
    const found = await this.#readOwn(configuration);
    if (found === null) {
      throw conflict(version - 1, version);
    }
    return found;
  }

  /**
   * Reads the version that an earlier attempt may have written; `null` when it
   * does not exist. Fails with the kind `conflict` when it has another nonce.
   */
  async #readOwn(
    { version, nonce }: Configuration,
  ): Promise<Configuration | null> {
    const found = await this.#findVersion(version);
    if (found !== null && found.nonce !== nonce) {
      throw conflict(version - 1, version);
    }
    return found;
  }

  async #readHead(): Promise<Head> {
    const [row] = await this.#table.read([headKey], "configuration");
    if (row === null || row === undefined) {
      return { version: 0, effectiveAt: 0, rowVersion: null };
    }
    return { ...headSchema.parse(row.value), rowVersion: row.version };
  }

  async #findVersion(version: number): Promise<Configuration | null> {
    const [row] = await this.#table.read(
      [versionKey(version)],
      "configuration",
    );
    return row === null || row === undefined
      ? null
      : configurationSchema.parse(row.value);
  }
}

/** Creates the new version; a delayed commit postpones its effective time. */
function createVersion(
  change: Change,
  head: Head,
  attempt: { readonly nonce: string; readonly delayMs: number },
): Configuration {
  const { ifVersion, author, statement } = change;
  const delaySteps = attempt.delayMs <= toleratedDelayMs
    ? 0
    : Math.ceil(attempt.delayMs / effectiveStepMs);
  const earliest = change.effectiveAt + delaySteps * effectiveStepMs;
  return {
    version: ifVersion + 1,
    effectiveAt: Math.max(earliest, head.effectiveAt + effectiveStepMs),
    acceptedAt: change.acceptedAt,
    author,
    nonce: attempt.nonce,
    statement,
  };
}

function createWrites(
  configuration: Configuration,
  head: Head,
): readonly Write[] {
  return [
    createHeadWrite(configuration, head),
    createVersionWrite(configuration),
  ];
}

function createHeadWrite(
  { version, effectiveAt }: Configuration,
  { rowVersion }: Head,
): Write {
  const value = { version, effectiveAt };
  return { key: headKey, ifVersion: rowVersion, value };
}

function createVersionWrite(configuration: Configuration): Write {
  const value = configuration as unknown as Json;
  return { key: versionKey(configuration.version), ifVersion: null, value };
}

function versionKey(version: number): string {
  return `configuration/version/${String(version).padStart(12, "0")}`;
}

function conflict(expected: number, current: number): Failure {
  return new KnownError(
    `Configuration version ${expected} is outdated: the newest is ${current}`,
    { kind: "conflict" },
  );
}

function unknownOutcome({ version }: Configuration, cause: Failure): Failure {
  return new KnownError(
    `Version ${version} may have been accepted: read the history before a retry`,
    { kind: "store_unavailable", notRun: "unknown", cause },
  );
}
