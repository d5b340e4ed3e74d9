import { mkdir, writeFile } from "node:fs/promises";
import { loadavg } from "node:os";
import { join } from "node:path";
import { drawTrace } from "./arrival_trace.ts";
import type { PolicyFigures } from "./measures.ts";
import { figuresOf } from "./measures.ts";
import { pageOf } from "./report_page.ts";
import { tableOf } from "./report_table.ts";
import { scenarios } from "./scenarios.ts";
import { runPolicy } from "./system_load.ts";

const resultsDirectory = "bench-results";

/** What one run of the bench measures. */
export interface BenchOptions {
  readonly scenario: string;
  readonly policies: readonly string[];
  readonly seed: number;
  /** Factor on the load of every phase. */
  readonly load: number;
}

/** Runs every policy on the same trace and reports the figures. */
export async function runBench(options: BenchOptions): Promise<void> {
  const known = scenarios.get(options.scenario);
  if (known === undefined) {
    const names = [...scenarios.keys()].join(", ");
    throw new RangeError(
      `No scenario is called "${options.scenario}": expected one of ${names}`,
    );
  }
  const phases = known.phases.map((phase) => ({
    ...phase,
    load: phase.load * options.load,
  }));
  const scenario = { ...known, phases };
  const arrivals = drawTrace(scenario, options.seed);
  const figures: PolicyFigures[] = [];
  for (const policy of options.policies) {
    const trace = { arrivals, seed: options.seed };
    const run = await runPolicy(scenario, policy, trace);
    figures.push(figuresOf(scenario, run));
  }
  const load = loadavg().map((each) => each.toFixed(1)).join(" ");
  const note = `Seed ${options.seed}, ${arrivals.length} requests, machine ` +
    `load averages at the end ${load}; other work may share the machine`;
  console.log(`${scenario.name}: ${note}`);
  console.log(tableOf(figures));
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
  await writeFile(`${path}.html`, pageOf(name, note, figures));
}
