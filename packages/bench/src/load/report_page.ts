import type { ClassFigures, PolicyFigures } from "./measures.ts";
import { columnTitles, formatRows } from "./report_table.ts";

interface PlottedMeasure {
  readonly title: string;
  readonly value: (figures: PolicyFigures) => number;
}

const barWidth = 400;
const barHeight = 18;
const labelWidth = 220;

const plottedMeasures: readonly PlottedMeasure[] = [
  {
    title: "Preemptions per 1,000 generations",
    value: (figures) => figures.preemptionsPerThousand,
  },
  {
    title: "Stall p99 (ms)",
    value: (figures) => allClasses(figures)?.stall.p99 ?? 0,
  },
  {
    title: "First token p99 (ms)",
    value: (figures) => allClasses(figures)?.firstToken.p99 ?? 0,
  },
  {
    title: "Between tokens p99 (ms)",
    value: (figures) => allClasses(figures)?.betweenTokens.p99 ?? 0,
  },
  {
    title: "Requests that met their targets (%)",
    value: (figures) => 100 * (allClasses(figures)?.metShare ?? 0),
  },
];

/** Renders an HTML page with a table of all figures and bar charts. */
export function renderPage(
  title: string,
  note: string,
  figures: readonly PolicyFigures[],
): string {
  const plots = plottedMeasures.map((measure) => renderPlot(measure, figures))
    .join("\n");
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
${renderTable(figures)}
${plots}
</html>
`;
}

function renderTable(figures: readonly PolicyFigures[]): string {
  const headings = columnTitles.map((title) => `<th>${escapeText(title)}</th>`);
  const rows = figures.flatMap((policyFigures) => formatRows(policyFigures))
    .map((row) =>
      `<tr>${row.map((cell) => `<td>${escapeText(cell)}</td>`).join("")}</tr>`
    );
  return `<table><tr>${headings.join("")}</tr>\n${rows.join("\n")}</table>`;
}

function renderPlot(
  measure: PlottedMeasure,
  figures: readonly PolicyFigures[],
): string {
  const values = figures.map((policyFigures) => measure.value(policyFigures));
  const maxValue = Math.max(1e-9, ...values);
  const bars = figures.map((policyFigures, index) => {
    const value = values[index] ?? 0;
    const barY = index * (barHeight + 4);
    const barLength = Math.round(barWidth * value / maxValue);
    const baselineY = barY + barHeight - 4;
    const valueX = labelWidth + barLength + 6;
    return `<text x="0" y="${baselineY}">${
      escapeText(policyFigures.policy)
    }</text>` +
      `<rect x="${labelWidth}" y="${barY}" width="${barLength}" ` +
      `height="${barHeight}" fill="#7a6fb0"/>` +
      `<text x="${valueX}" y="${baselineY}">${value.toFixed(1)}</text>`;
  });
  const height = figures.length * (barHeight + 4);
  const width = labelWidth + barWidth + 100;
  return `<h2>${escapeText(measure.title)}</h2>
<svg width="${width}" height="${height}">${bars.join("")}</svg>`;
}

function allClasses(figures: PolicyFigures): ClassFigures | undefined {
  return figures.classes[0];
}

function escapeText(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
