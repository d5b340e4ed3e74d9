import { mkdir, writeFile } from "node:fs/promises";
import { loadavg } from "node:os";
import { join } from "node:path";
import { drawTrace } from "./arrival_trace.ts";
import type { PolicyFigures } from "./measures.ts";
import { computeFigures } from "./measures.ts";
import { renderPage } from "./report_page.ts";
import { formatTable } from "./report_table.ts";
import { scenarios } from "./scenarios.ts";
import { runPolicy } from "./system_load.ts";

const resultsDirectory = "bench-results";

/** Scenario, policies and load of one run of the bench. */
export interface BenchOptions {
  readonly scenario: string;
  readonly policies: readonly string[];
  readonly seed: number;
  /** Factor on the load of every phase. */
  readonly loadFactor: number;
}

/** Runs every policy on the same trace, and prints and writes the figures. */
export async function runBench(options: BenchOptions): Promise<void> {
  const namedScenario = scenarios.get(options.scenario);
  if (namedScenario === undefined) {
    const names = [...scenarios.keys()].join(", ");
    throw new RangeError(
      `Scenario "${options.scenario}" does not exist: expected one of ${names}`,
    );
  }
  const phases = namedScenario.phases.map((phase) => ({
    ...phase,
    load: phase.load * options.loadFactor,
  }));
  const scenario = { ...namedScenario, phases };
  const arrivals = drawTrace(scenario, options.seed);
  const figures: PolicyFigures[] = [];
  for (const policy of options.policies) {
    const trace = { arrivals, seed: options.seed };
    const run = await runPolicy(scenario, policy, trace);
    figures.push(computeFigures(scenario, run));
  }
  const averages = loadavg().map((average) => average.toFixed(1)).join(" ");
  const note = `Seed ${options.seed}, ${arrivals.length} requests, machine ` +
    `load averages at the end ${averages}; other work may share the machine`;
  console.log(`${scenario.name}: ${note}`);
  console.log(formatTable(figures));
  await writeResults(`${scenario.name}-${options.seed}`, { note, figures });
}

async function writeResults(
  name: string,
  results: { readonly note: string; readonly figures: PolicyFigures[] },
): Promise<void> {
  const { note, figures } = results;
  await mkdir(resultsDirectory, { recursive: true });
  const path = join(resultsDirectory, name);
  await writeFile(`${path}.json`, JSON.stringify(results, null, 2));
  await writeFile(`${path}.html`, renderPage(name, note, figures));
}
