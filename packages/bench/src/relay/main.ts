import { mkdir, writeFile } from "node:fs/promises";
import {
  type Program,
  sampleStatement,
  startProgram,
  System,
} from "@lavenderferry/proof";
import { cac } from "cac";
import { readProcessUsage } from "../util/process_usage.ts";
import type { RelayCost, RelayLoad } from "./measure.ts";
import { measureRelay } from "./measure.ts";

const resultsDirectory = "bench-results";
const mebibyte = 1_048_576;
const idleMs = 3_000;

interface Scenario {
  readonly name: string;
  readonly prompt: string;
  readonly streams: number;
  readonly total: number;
  readonly tokens: number;
}

interface Result {
  readonly scenario: string;
  readonly process: string;
  readonly cost: RelayCost;
}

const scenarios: readonly Scenario[] = [
  scenario("warm", { streams: 20, total: 400, tokens: 50 }),
  scenario("paced", {
    streams: 300,
    total: 600,
    tokens: 200,
    interval: 25,
  }),
  scenario("batched", {
    streams: 20,
    total: 200,
    tokens: 2_000,
    batch: 8,
    interval: 0,
  }),
  scenario("short", { streams: 20, total: 3_000, tokens: 1, interval: 0 }),
];

const cli = cac("bench:relay");
cli.option("--json <file>", "Where the result goes", {
  default: `${resultsDirectory}/relay.json`,
});
cli.help();
const { options } = cli.parse();

if (!options["help"]) {
  const results = await run();
  await mkdir(resultsDirectory, { recursive: true });
  await writeFile(String(options["json"]), JSON.stringify(results, null, 2));
}

async function run(): Promise<readonly Result[]> {
  const source = await startProgram("source", here("source_main.js"), []);
  const pipe = await startProgram("pipe", here("pipe_main.js"), [
    source.listening.address,
  ]);
  const system = new System({
    entries: 1,
    stewards: 1,
    engines: 0,
    services: [],
    entrySettings: { policy: "round_robin" },
  });
  try {
    await system.start();
    const { address } = source.listening;
    await system.register({ id: "source", role: "engine", address });
    await system.operator().apply(sampleStatement, 0);
    await system.ready();
    await pause(idleMs);
    printResident(system, "idle");
    const results = await runScenarios(system, pipe);
    printResident(system, "loaded");
    return results;
  } finally {
    await system.stop();
    await Promise.all([source.kill(), pipe.kill()]);
  }
}

async function runScenarios(
  system: System,
  pipe: Program,
): Promise<readonly Result[]> {
  const results: Result[] = [];
  const entry = system.program("entry-0");
  for (const each of scenarios) {
    for (const target of [pipe, entry]) {
      const load = loadOf(each, target, system);
      const cost = await measureRelay(target.pid, load);
      const result = { scenario: each.name, process: target.name, cost };
      results.push(result);
      print(result);
    }
  }
  return results;
}

function loadOf(
  { prompt, streams, total, tokens }: Scenario,
  target: Program,
  system: System,
): RelayLoad {
  const base = `http://${target.listening.address}`;
  const common = { prompt, streams, total, tokens };
  if (target.name === "pipe") {
    return {
      ...common,
      url: `${base}/v1/completions`,
      headers: {},
      body: (text) => JSON.stringify({ request_id: "pipe-1", prompt: text }),
    };
  }
  return {
    ...common,
    url: `${base}/v1/chat/completions`,
    headers: { authorization: `Bearer ${system.callerKey("clinic")}` },
    body: (text) =>
      JSON.stringify({
        model: "base",
        class: "report",
        stream: true,
        messages: [{ role: "user", content: text }],
      }),
  };
}

function scenario(
  name: string,
  size: {
    readonly streams: number;
    readonly total: number;
    readonly tokens: number;
    readonly batch?: number;
    readonly interval?: number;
  },
): Scenario {
  const { streams, total, tokens, batch = 1, interval = 1 } = size;
  const prompt = `[out:${tokens}] [batch:${batch}] [interval:${interval}]`;
  return { name, prompt, streams, total, tokens };
}

function printResident(system: System, state: "idle" | "loaded"): void {
  for (const [name, program] of system.programs) {
    const { residentBytes } = readProcessUsage(program.pid);
    const resident = (residentBytes / mebibyte).toFixed(1);
    say(`${name} ${state}: ${resident} MiB resident`);
  }
}

function print({ scenario: name, process: relay, cost }: Result): void {
  say(
    `${name} ${relay}: ${cost.microsecondsPerToken.toFixed(1)} us/token, ` +
      `${cost.microsecondsPerRequest.toFixed(0)} us/request, ` +
      `${Math.round(cost.tokensPerSecond)} tokens/s, ` +
      `${(100 * cost.share).toFixed(0)}% of a core, ` +
      `${cost.residentMiB.toFixed(1)} MiB`,
  );
}

function here(file: string): URL {
  return new URL(`./${file}`, import.meta.url);
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}
