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
const bytesPerMebibyte = 1_048_576;
/** Time after start-up before the memory of idle processes is read. */
const idleMs = 3_000;

interface Scenario {
  readonly name: string;
  readonly prompt: string;
  readonly concurrentStreams: number;
  readonly totalStreams: number;
  readonly tokensPerStream: number;
}

interface Result {
  readonly scenario: string;
  readonly process: string;
  readonly cost: RelayCost;
}

const scenarios: readonly Scenario[] = [
  createScenario("warm", {
    concurrentStreams: 20,
    totalStreams: 400,
    tokensPerStream: 50,
  }),
  createScenario("paced", {
    concurrentStreams: 300,
    totalStreams: 600,
    tokensPerStream: 200,
    intervalMs: 25,
  }),
  createScenario("batched", {
    concurrentStreams: 20,
    totalStreams: 200,
    tokensPerStream: 2_000,
    batchTokens: 8,
    intervalMs: 0,
  }),
  createScenario("short", {
    concurrentStreams: 20,
    totalStreams: 3_000,
    tokensPerStream: 1,
    intervalMs: 0,
  }),
];

const cli = cac("bench:relay");
cli.option("--json <file>", "File for the results in JSON", {
  default: `${resultsDirectory}/relay.json`,
});
cli.help();
const { options } = cli.parse();

if (!options["help"]) {
  const results = await measureScenarios();
  await mkdir(resultsDirectory, { recursive: true });
  await writeFile(String(options["json"]), JSON.stringify(results, null, 2));
}

async function measureScenarios(): Promise<readonly Result[]> {
  const source = await startProgram("source", programUrl("source_main.js"), []);
  const pipe = await startProgram("pipe", programUrl("pipe_main.js"), [
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
    await system.waitUntilReady();
    await delay(idleMs);
    printResidentMemory(system, "idle");
    const results = await measureTargets(system, pipe);
    printResidentMemory(system, "loaded");
    return results;
  } finally {
    await system.stop();
    await Promise.all([source.kill(), pipe.kill()]);
  }
}

/** Runs each scenario against the baseline pipe and against the entry. */
async function measureTargets(
  system: System,
  pipe: Program,
): Promise<readonly Result[]> {
  const results: Result[] = [];
  const entry = system.program("entry-0");
  for (const scenario of scenarios) {
    for (const target of [pipe, entry]) {
      const load = createLoad(scenario, target, system);
      const cost = await measureRelay(target.pid, load);
      const result = { scenario: scenario.name, process: target.name, cost };
      results.push(result);
      printResult(result);
    }
  }
  return results;
}

function createLoad(
  {
    prompt,
    concurrentStreams,
    totalStreams,
    tokensPerStream,
  }: Scenario,
  target: Program,
  system: System,
): RelayLoad {
  const base = `http://${target.listening.address}`;
  const common = {
    prompt,
    concurrentStreams,
    totalStreams,
    tokensPerStream,
  };
  if (target.name === "pipe") {
    return {
      ...common,
      url: `${base}/v1/completions`,
      headers: {},
      createBody: (text) =>
        JSON.stringify({ request_id: "pipe-1", prompt: text }),
    };
  }
  return {
    ...common,
    url: `${base}/v1/chat/completions`,
    headers: { authorization: `Bearer ${system.callerKey("clinic")}` },
    createBody: (text) =>
      JSON.stringify({
        model: "base",
        class: "report",
        stream: true,
        messages: [{ role: "user", content: text }],
      }),
  };
}

function createScenario(
  name: string,
  size: {
    readonly concurrentStreams: number;
    readonly totalStreams: number;
    readonly tokensPerStream: number;
    readonly batchTokens?: number;
    readonly intervalMs?: number;
  },
): Scenario {
  const {
    concurrentStreams,
    totalStreams,
    tokensPerStream,
    batchTokens = 1,
    intervalMs = 1,
  } = size;
  const prompt =
    `[out:${tokensPerStream}] [batch:${batchTokens}] [interval:${intervalMs}]`;
  return {
    name,
    prompt,
    concurrentStreams,
    totalStreams,
    tokensPerStream,
  };
}

function printResidentMemory(system: System, state: "idle" | "loaded"): void {
  for (const [name, program] of system.programs) {
    const { residentBytes } = readProcessUsage(program.pid);
    const resident = (residentBytes / bytesPerMebibyte).toFixed(1);
    printLine(`${name} ${state}: ${resident} MiB resident`);
  }
}

function printResult({ scenario: name, process: target, cost }: Result): void {
  printLine(
    `${name} ${target}: ${cost.microsecondsPerToken.toFixed(1)} us/token, ` +
      `${cost.microsecondsPerRequest.toFixed(0)} us/request, ` +
      `${Math.round(cost.tokensPerSecond)} tokens/s, ` +
      `${(100 * cost.share).toFixed(0)}% of a core, ` +
      `${cost.residentMiB.toFixed(1)} MiB`,
  );
}

function programUrl(file: string): URL {
  return new URL(`./${file}`, import.meta.url);
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}
