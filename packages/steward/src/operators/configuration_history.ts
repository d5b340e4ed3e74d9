import type {
  Configuration,
  ConfigurationStore,
  EntityDifference,
} from "@lavenderferry/configuration";
import {
  diffStatements,
  emptyConfiguration,
} from "@lavenderferry/configuration";

/** An accepted version and its changes to the version before it. */
export interface HistoryItem {
  readonly version: number;
  readonly author: string;
  /** Milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
  /** Milliseconds since the Unix epoch. */
  readonly effectiveAt: number;
  readonly changes: readonly EntityDifference[];
}

/** Changes from one version to another. */
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
): Promise<readonly HistoryItem[]> {
  const first = Math.max(0, after - 1);
  const versions = await store.readAfter(first, historyLimit + 1);
  let before = emptyConfiguration;
  const items: HistoryItem[] = [];
  for (const configuration of versions) {
    if (configuration.version > after) {
      items.push(toHistoryItem(before, configuration));
    }
    before = configuration;
  }
  return items;
}

/**
 * Compares two versions. By default `to` is the newest version and `from` the
 * one before `to`.
 */
export async function readDifference(
  store: ConfigurationStore,
  { from, to }: {
    readonly from?: number | undefined;
    readonly to?: number | undefined;
  },
): Promise<VersionDifference> {
  const after = await readConfiguration(store, to);
  const before = await readConfiguration(
    store,
    from ?? Math.max(0, after.version - 1),
  );
  const changes = diffStatements(before.statement, after.statement);
  return { from: before.version, to: after.version, changes };
}

async function readConfiguration(
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

function toHistoryItem(
  before: Configuration,
  after: Configuration,
): HistoryItem {
  const { version, author, acceptedAt, effectiveAt } = after;
  const changes = diffStatements(before.statement, after.statement);
  return { version, author, acceptedAt, effectiveAt, changes };
}
