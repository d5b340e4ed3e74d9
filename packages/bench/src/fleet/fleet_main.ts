import { fork } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { standinPrograms } from "@lavenderferry/standins";
import { cac } from "cac";
import {
  clearDutyHolders,
  measureConfigurationPropagation,
  measureIdle,
  measureMarkPropagation,
  measureNodeFailures,
  measureSimultaneousFailures,
  trackDutyHolders,
} from "./fleet_scenarios.ts";
import type { Latencies } from "./fleet_scenarios.ts";
import { NodeFleet } from "./node_fleet.ts";
import { measureIdleProcesses } from "./real_processes.ts";

const cli = cac("bench-fleet");
cli.option("--processes <sizes>", "Comma-separated fleet sizes", {
  default: "8,32,96",
});
cli.option("--real <sizes>", "Comma-separated sizes with real processes", {
  default: "8,32",
});
cli.option("--rounds <rounds>", "Rounds of each scenario", { default: 5 });
cli.option("--seconds <seconds>", "Seconds of each idle measurement", {
  default: 15,
});
cli.help();
const { options } = cli.parse();

/** Time for the nodes to join before the first measurement. */
const joinDelayMs = 20_000;
const idleSeconds = Number(options["seconds"]);
const rounds = Number(options["rounds"]);

function parseSizes(optionName: string): readonly number[] {
  return String(options[optionName]).split(",").map(Number)
    .filter((size) => size > 0);
}

function printFigures(figures: object): void {
  process.stdout.write(`${JSON.stringify(figures)}\n`);
}

function summarise(latencies: Latencies): object {
  const sorted = [...latencies].sort((a, b) => a - b);
  const percentile = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
  return {
    count: sorted.length,
    p50Ms: percentile(0.5),
    p99Ms: percentile(0.99),
    maxMs: sorted.at(-1),
  };
}

async function withPlatform(
  run: (platformUrl: string) => Promise<void>,
): Promise<void> {
  const child = fork(fileURLToPath(standinPrograms.platform), [], {
    stdio: ["ignore", "pipe", "inherit", "ipc"],
    env: { ...process.env, UV_USE_IO_URING: "0" },
  });
  try {
    const lines = createInterface({ input: child.stdout ?? process.stdin });
    const [line] = await once(lines, "line") as [string];
    const { address } = JSON.parse(line) as { address: string };
    await run(`http://${address}`);
  } finally {
    child.kill("SIGKILL");
  }
}

async function measureNodes(size: number, platformUrl: string): Promise<void> {
  const fleet = new NodeFleet(platformUrl);
  clearDutyHolders();
  trackDutyHolders(fleet);
  try {
    await fleet.start(size);
    await new Promise((resolve) => setTimeout(resolve, joinDelayMs));
    const idleFigures = await measureIdle(fleet, platformUrl, idleSeconds);
    printFigures({ scenario: "rest", size, ...idleFigures });
    const markLatencies = await measureMarkPropagation(fleet, rounds * 2);
    printFigures({ scenario: "mark", size, ...summarise(markLatencies) });
    const versionLatencies = await measureConfigurationPropagation(
      fleet,
      rounds * 2,
    );
    printFigures({
      scenario: "configuration",
      size,
      ...summarise(versionLatencies),
    });
    const nodeFailures = await measureNodeFailures(fleet, rounds);
    printFigures({
      scenario: "death",
      size,
      ...summarise(nodeFailures.detection),
    });
    printFigures({
      scenario: "duty",
      size,
      ...summarise(nodeFailures.takeover),
    });
    const simultaneousFailures = await measureSimultaneousFailures(fleet);
    printFigures({
      scenario: "third_death",
      size,
      ...summarise(simultaneousFailures.detection),
    });
    printFigures({
      scenario: "third_duty",
      size,
      ...summarise(simultaneousFailures.takeover),
    });
    const idleAfterFailure = await measureIdle(fleet, platformUrl, idleSeconds);
    printFigures({ scenario: "rest_after_third", size, ...idleAfterFailure });
  } finally {
    fleet.stop();
  }
}

if (!options["help"]) {
  for (const size of parseSizes("processes")) {
    await withPlatform((platformUrl) => measureNodes(size, platformUrl));
  }
  for (const size of parseSizes("real")) {
    for (const figures of await measureIdleProcesses(size, idleSeconds)) {
      printFigures({ scenario: "real", size, ...figures });
    }
  }
}
