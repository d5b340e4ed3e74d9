import type { Steps } from "@lavenderferry/runtime";
import { handleInSteps } from "@lavenderferry/runtime";

/** Share of a document's length from which on a difference is not worth it. */
const maxDifferenceShare = 0.5;

/** Prefixes of the lines of a difference. */
const linePrefixes = {
  /** Lines of the base follow: first index and count. */
  copied: "=",
  /** The line itself follows. */
  added: "+",
} as const;

/** Consecutive lines of a base. */
export interface CopiedLines {
  readonly kind: "copied";
  readonly start: number;
  readonly count: number;
}

/** A step by which a document is made from a base. */
export type DifferenceStep =
  | CopiedLines
  | { readonly kind: "added"; readonly line: string };

/**
 * Describes lines as runs of the lines of a base and added ones. Returns `null`
 * if that is not much shorter than the lines.
 */
export function* describeDifference(
  base: readonly string[],
  lines: readonly string[],
): Steps<readonly string[] | null> {
  const indexes = new Map<string, number>();
  yield* handleInSteps(base.entries(), ([index, line]) => {
    indexes.set(line, index);
  });
  const steps: string[] = [];
  let start = 0;
  let count = 0;
  let addedLength = 0;
  let totalLength = 0;
  const endRun = () => {
    if (count > 0) {
      steps.push(`${linePrefixes.copied}${start},${count}`);
      count = 0;
    }
  };
  yield* handleInSteps(lines, (line) => {
    totalLength += line.length;
    if (count > 0 && base[start + count] === line) {
      count += 1;
      return;
    }
    endRun();
    const index = indexes.get(line);
    if (index === undefined) {
      addedLength += line.length;
      steps.push(linePrefixes.added + line);
    } else {
      start = index;
      count = 1;
    }
  });
  endRun();
  return addedLength > maxDifferenceShare * totalLength ? null : steps;
}

/** Reads a line of a difference; throws if it is none of a base's length. */
export function readStep(text: string, baseLength: number): DifferenceStep {
  if (text.startsWith(linePrefixes.added)) {
    return { kind: "added", line: text.slice(linePrefixes.added.length) };
  }
  const match = /^=(\d{1,9}),(\d{1,9})$/.exec(text);
  const [start, count] = [Number(match?.[1]), Number(match?.[2])];
  if (!(start + count <= baseLength)) {
    throw new RangeError("The difference does not fit its base");
  }
  return { kind: "copied", start, count };
}
