import type {
  Configuration,
  ConfigurationStore,
  EntityDifference,
} from "@lavenderferry/configuration";
import {
  diffStatements,
  emptyConfiguration,
} from "@lavenderferry/configuration";

/** One accepted version and what it changed. */
export interface HistoryLine {
  readonly version: number;
  readonly author: string;
  /** Milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
  /** Milliseconds since the Unix epoch. */
  readonly effectiveAt: number;
  readonly changes: readonly EntityDifference[];
}

/** What differs between two versions. */
export interface VersionDifference {
  readonly from: number;
  readonly to: number;
  readonly changes: readonly EntityDifference[];
}

const historyLimit = 50;

/** Reads versions after the given one, oldest first, with their changes. */
export async function readHistory(
  store: ConfigurationStore,
  after: number,
): Promise<readonly HistoryLine[]> {
  const first = Math.max(0, after - 1);
  const versions = await store.readAfter(first, historyLimit + 1);
  let before = emptyConfiguration;
  const lines: HistoryLine[] = [];
  for (const configuration of versions) {
    if (configuration.version > after) {
      lines.push(lineOf(before, configuration));
    }
    before = configuration;
  }
  return lines;
}

/** Compares two versions; the newest one when `to` is left out. */
export async function readDifference(
  store: ConfigurationStore,
  { from, to }: {
    readonly from?: number | undefined;
    readonly to?: number | undefined;
  },
): Promise<VersionDifference> {
  const after = await readOne(store, to);
  const before = await readOne(store, from ?? Math.max(0, after.version - 1));
  const changes = diffStatements(before.statement, after.statement);
  return { from: before.version, to: after.version, changes };
}

async function readOne(
  store: ConfigurationStore,
  version: number | undefined,
): Promise<Configuration> {
  if (version === 0) {
    return emptyConfiguration;
  }
  return version === undefined
    ? await store.readLatest()
    : await store.readVersion(version);
}

function lineOf(before: Configuration, after: Configuration): HistoryLine {
  const { version, author, acceptedAt, effectiveAt } = after;
  const changes = diffStatements(before.statement, after.statement);
  return { version, author, acceptedAt, effectiveAt, changes };
}
