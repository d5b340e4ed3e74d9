import type { StoreVersion } from "@lavenderferry/platform";
import { eraOf, toStoreVersion, versionInEra } from "@lavenderferry/platform";
import type {
  DrainingMark,
  DrainingMark__Output,
} from "@lavenderferry/protocol";
import type { Mark } from "./marks.ts";

/**
 * Encodes a mark for peers. Builds that know no eras read the version alone,
 * as the platform counts it.
 */
export function writeMark(mark: Mark): DrainingMark {
  const { upstream, reason, version: datedVersion, at } = mark;
  const version = versionInEra(datedVersion);
  return { upstream, reason, version, datedVersion, at };
}

/**
 * Decodes a mark of a peer; returns `null` if its version is not usable. A
 * version of unknown era counts in that of the newest list that was read here.
 */
export function readMark(
  { upstream, reason, version, datedVersion, at }: DrainingMark__Output,
  listVersion: StoreVersion,
): Mark | null {
  const isUndated = datedVersion === 0 && version > 0;
  const numbers = [version, datedVersion, at];
  if (
    !numbers.every((number) => Number.isSafeInteger(number) && number >= 0) ||
    version !== versionInEra(version)
  ) {
    return null;
  }
  const storeVersion = isUndated
    ? toStoreVersion(eraOf(listVersion), version)
    : datedVersion;
  return { upstream, reason, version: storeVersion, at };
}
