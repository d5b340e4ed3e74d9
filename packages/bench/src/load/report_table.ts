import type { Percentiles, PolicyFigures } from "./measures.ts";

const columns = [
  "policy",
  "class",
  "requests",
  "met %",
  "preempt/1000",
  "stall ms p50/p95/p99",
  "stall total s",
  "first token ms",
  "between tokens ms",
  "wasted",
  "goodput/s",
  "refused",
  "refused after ms",
] as const;

/** Formats the figures of all policies as a plain-text table. */
export function formatTable(figures: readonly PolicyFigures[]): string {
  const rows = figures.flatMap((policyFigures) => formatRows(policyFigures));
  const widths = columns.map((title, index) =>
    Math.max(title.length, ...rows.map((row) => row[index]?.length ?? 0))
  );
  return [columns, ...rows]
    .map((row) =>
      row.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join("  ")
        .trimEnd()
    )
    .join("\n");
}

/** Returns one row for each class of a policy, in the order of the columns. */
export function formatRows(figures: PolicyFigures): readonly string[][] {
  return figures.classes.map((classFigures, index) => [
    figures.policy,
    classFigures.workClass,
    String(classFigures.requests),
    (100 * classFigures.metShare).toFixed(1),
    index === 0 ? figures.preemptionsPerThousand.toFixed(1) : "",
    formatPercentiles(classFigures.stall),
    (classFigures.stallTotalMs / 1_000).toFixed(1),
    formatPercentiles(classFigures.firstToken),
    formatPercentiles(classFigures.betweenTokens),
    index === 0 ? String(Math.round(figures.wastedTokens)) : "",
    index === 0 ? figures.goodput.map((rate) => rate.toFixed(1)).join(" ") : "",
    Object.entries(classFigures.refused)
      .map(([kind, count]) => `${kind}:${count}`)
      .join(" "),
    formatPercentiles(classFigures.refusedAfter),
  ]);
}

/** Headings of the columns, in the order of the cells of a row. */
export const columnTitles: readonly string[] = columns;

function formatPercentiles({ p50, p95, p99 }: Percentiles): string {
  return [p50, p95, p99].map((milliseconds) => milliseconds.toFixed(0)).join(
    "/",
  );
}
