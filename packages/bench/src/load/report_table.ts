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

/** Lays the figures of all policies out as a table of text. */
export function tableOf(figures: readonly PolicyFigures[]): string {
  const rows = figures.flatMap((each) => rowsOf(each));
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

/** Returns one row of cells for each class of a policy. */
export function rowsOf(figures: PolicyFigures): readonly string[][] {
  return figures.classes.map((each, index) => [
    figures.policy,
    each.workClass,
    String(each.requests),
    (100 * each.metShare).toFixed(1),
    index === 0 ? figures.preemptionsPerThousand.toFixed(1) : "",
    show(each.stall),
    (each.stallTotalMs / 1_000).toFixed(1),
    show(each.firstToken),
    show(each.betweenTokens),
    index === 0 ? String(Math.round(figures.wastedTokens)) : "",
    index === 0 ? figures.goodput.map((rate) => rate.toFixed(1)).join(" ") : "",
    Object.entries(each.refused)
      .map(([kind, count]) => `${kind}:${count}`)
      .join(" "),
    show(each.refusedAfter),
  ]);
}

/** Titles of the cells. */
export const columnTitles: readonly string[] = columns;

function show({ p50, p95, p99 }: Percentiles): string {
  return [p50, p95, p99].map((each) => each.toFixed(0)).join("/");
}
