/**
 * Version of a row or of the whole table, with the era in which it was counted,
 * as one number. A table that is restored from an older copy counts versions
 * from those of the copy, so the version alone does not tell which is newer;
 * this number does.
 */
export type StoreVersion = number;

/**
 * Versions that one era may count. Leaves room for 8,191 eras in the integers
 * that a number represents exactly.
 */
const versionsPerEra = 2 ** 40;

/** Highest era that a `StoreVersion` can express. */
export const maxEra = Math.floor(Number.MAX_SAFE_INTEGER / versionsPerEra) - 1;

/** Joins an era and a version that was counted in it. */
export function toStoreVersion(era: number, version: number): StoreVersion {
  if (era > maxEra || version >= versionsPerEra) {
    throw new RangeError(`Version ${version} of era ${era} is out of range`);
  }
  return era * versionsPerEra + version;
}

/** Returns the era in which a version was counted. */
export function eraOf(version: StoreVersion): number {
  return Math.floor(version / versionsPerEra);
}

/** Returns a version as the table counts it. */
export function versionInEra(version: StoreVersion): number {
  return version % versionsPerEra;
}
