import { randomUUID } from "node:crypto";
import type { Failure } from "@lavenderferry/errors";
import { KnownError, toFailure } from "@lavenderferry/errors";
import type { Json, Table, Write } from "@lavenderferry/platform";
import { z } from "zod";
import type { Configuration, Statement } from "./configuration.ts";
import { configurationSchema, emptyConfiguration } from "./configuration.ts";

/** A change that an operator asks for. */
export interface Change {
  /** Version that the operator saw. */
  readonly ifVersion: number;
  readonly author: string;
  readonly statement: Statement;
  /** Milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
  /** Earliest time of force; a multiple of the effective step. */
  readonly effectiveAt: number;
}

/** Changes take force at multiples of this many milliseconds. */
export const effectiveStepMs = 1_000;

const headKey = "configuration/head";
const headSchema = z.object({
  version: z.int(),
  /** Time of force of that version. */
  effectiveAt: z.number().default(0),
});
const maxTries = 5;

interface Head {
  readonly version: number;
  readonly effectiveAt: number;
  /** Version of the row; `null` when it does not exist. */
  readonly rowVersion: number | null;
}

/** Keeps the versions of the configuration in the platform's table. */
export class ConfigurationStore {
  readonly #table: Table;
  readonly #now: () => number;

  constructor(table: Table, now: () => number = Date.now) {
    this.#table = table;
    this.#now = now;
  }

  /** Reads the newest version. */
  async readLatest(): Promise<Configuration> {
    const { version } = await this.#readHead();
    return version === 0 ? emptyConfiguration : this.readVersion(version);
  }

  /** Reads one version. */
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
   * Accepts a change, or fails with the kind `conflict` when another version
   * is newer. A lost answer of the table is settled by reading the version's
   * nonce back; when that fails as well, the failure's `notRun` is `unknown`.
   */
  async accept(change: Change): Promise<Configuration> {
    const head = await this.#readHead();
    if (head.version !== change.ifVersion) {
      throw conflict(change.ifVersion, head.version);
    }
    return await this.#write(change, head);
  }

  /**
   * Repeats the commit, or reads it back, until its result is certain. A repeat is harmless: its
   * conditions hold only as long as no earlier try has taken effect.
   */
  async #write(change: Change, head: Head): Promise<Configuration> {
    const nonce = randomUUID();
    const startedAt = this.#now();
    let uncertain = false;
    for (let tries = 1;; tries++) {
      const delay = this.#now() - startedAt;
      const configuration = versionOf(change, head, { nonce, delay });
      try {
        const found = uncertain ? await this.#readOwn(configuration) : null;
        return found ?? await this.#commit(configuration, head);
      } catch (error) {
        const failure = toFailure(error);
        if (failure.kind === "conflict") {
          throw failure;
        }
        uncertain ||= failure.notRun !== true;
        if (tries >= maxTries) {
          throw uncertain ? unknownResult(configuration, failure) : failure;
        }
      }
    }
  }

  async #commit(
    configuration: Configuration,
    head: Head,
  ): Promise<Configuration> {
    const writes = writesOf(configuration, head);
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
   * Reads the version that an earlier try may have written; `null` when there
   * is none. Fails with the kind `conflict` when another one was accepted.
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

/** A repeated commit shifts the time of force by the time that has passed. */
function versionOf(
  change: Change,
  head: Head,
  attempt: { readonly nonce: string; readonly delay: number },
): Configuration {
  const { ifVersion, author, statement } = change;
  const steps = Math.floor(attempt.delay / effectiveStepMs);
  const earliest = change.effectiveAt + steps * effectiveStepMs;
  return {
    version: ifVersion + 1,
    effectiveAt: Math.max(earliest, head.effectiveAt + effectiveStepMs),
    acceptedAt: change.acceptedAt,
    author,
    nonce: attempt.nonce,
    statement,
  };
}

function writesOf(configuration: Configuration, head: Head): readonly Write[] {
  const { version, effectiveAt } = configuration;
  return [
    {
      key: headKey,
      ifVersion: head.rowVersion,
      value: { version, effectiveAt },
    },
    {
      key: versionKey(version),
      ifVersion: null,
      value: configuration as unknown as Json,
    },
  ];
}

function versionKey(version: number): string {
  return `configuration/version/${String(version).padStart(12, "0")}`;
}

function conflict(expected: number, current: number): Failure {
  return new KnownError(
    `Configuration version ${expected} is not the newest: it is ${current}`,
    { kind: "conflict" },
  );
}

function unknownResult({ version }: Configuration, cause: Failure): Failure {
  return new KnownError(
    `Whether version ${version} was accepted is unknown: read the history before a retry`,
    { kind: "store_unavailable", notRun: "unknown", cause },
  );
}
