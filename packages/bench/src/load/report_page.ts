import type { ClassFigures, PolicyFigures } from "./measures.ts";
import { columnTitles, rowsOf } from "./report_table.ts";

interface Measure {
  readonly title: string;
  readonly value: (figures: PolicyFigures) => number;
}

const barWidth = 400;
const barHeight = 18;
const labelWidth = 220;

const measures: readonly Measure[] = [
  {
    title: "Preemptions per 1,000 generations",
    value: (each) => each.preemptionsPerThousand,
  },
  { title: "Stall p99 (ms)", value: (each) => all(each)?.stall.p99 ?? 0 },
  {
    title: "First token p99 (ms)",
    value: (each) => all(each)?.firstToken.p99 ?? 0,
  },
  {
    title: "Between tokens p99 (ms)",
    value: (each) => all(each)?.betweenTokens.p99 ?? 0,
  },
  {
    title: "Requests that met their targets (%)",
    value: (each) => 100 * (all(each)?.metShare ?? 0),
  },
];

/** Writes one HTML page with a table and plots. */
export function pageOf(
  title: string,
  note: string,
  figures: readonly PolicyFigures[],
): string {
  const plots = measures.map((measure) => plotOf(measure, figures)).join("\n");
  return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>${escapeText(title)}</title>
<style>
body { font: 14px sans-serif; margin: 2em; }
td, th { padding: 2px 8px; text-align: right; border-bottom: 1px solid #ccc; }
</style>
<h1>${escapeText(title)}</h1>
<p>${escapeText(note)}</p>
${tableMarkup(figures)}
${plots}
</html>
`;
}

function tableMarkup(figures: readonly PolicyFigures[]): string {
  const head = columnTitles.map((each) => `<th>${escapeText(each)}</th>`);
  const rows = figures.flatMap((each) => rowsOf(each)).map((row) =>
    `<tr>${row.map((cell) => `<td>${escapeText(cell)}</td>`).join("")}</tr>`
  );
  return `<table><tr>${head.join("")}</tr>\n${rows.join("\n")}</table>`;
}

function plotOf(measure: Measure, figures: readonly PolicyFigures[]): string {
  const values = figures.map((each) => measure.value(each));
  const most = Math.max(1e-9, ...values);
  const bars = figures.map((each, index) => {
    const value = values[index] ?? 0;
    const top = index * (barHeight + 4);
    const width = Math.round(barWidth * value / most);
    const base = top + barHeight - 4;
    const end = labelWidth + width + 6;
    return `<text x="0" y="${base}">${escapeText(each.policy)}</text>` +
      `<rect x="${labelWidth}" y="${top}" width="${width}" ` +
      `height="${barHeight}" fill="#7a6fb0"/>` +
      `<text x="${end}" y="${base}">${value.toFixed(1)}</text>`;
  });
  const height = figures.length * (barHeight + 4);
  const width = labelWidth + barWidth + 100;
  return `<h2>${escapeText(measure.title)}</h2>
<svg width="${width}" height="${height}">${bars.join("")}</svg>`;
}

function all(figures: PolicyFigures): ClassFigures | undefined {
  return figures.classes[0];
}

function escapeText(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
