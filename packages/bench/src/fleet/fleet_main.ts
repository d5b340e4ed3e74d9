import { fork } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { standinPrograms } from "@lavenderferry/standins";
import { cac } from "cac";
import {
  followDuties,
  forgetDuties,
  killOne,
  killThird,
  measureRest,
  spreadConfigurations,
  spreadMarks,
} from "./fleet_scenarios.ts";
import type { Times } from "./fleet_scenarios.ts";
import { NodeFleet } from "./node_fleet.ts";
import { measureProcesses } from "./real_processes.ts";

const cli = cac("bench-fleet");
cli.option("--processes <sizes>", "Sizes of the fleet, by commas", {
  default: "8,32,96",
});
cli.option("--real <sizes>", "Sizes with real processes, by commas", {
  default: "8,32",
});
cli.option("--rounds <rounds>", "Rounds of each scenario", { default: 5 });
cli.option("--seconds <seconds>", "Seconds of each rest", { default: 15 });
cli.help();
const { options } = cli.parse();

const joinMs = 20_000;
const restSeconds = Number(options["seconds"]);
const rounds = Number(options["rounds"]);

function sizesOf(name: string): readonly number[] {
  return String(options[name]).split(",").map(Number)
    .filter((size) => size > 0);
}

function print(figures: object): void {
  process.stdout.write(`${JSON.stringify(figures)}\n`);
}

function summarise(times: Times): object {
  const sorted = [...times].sort((a, b) => a - b);
  const at = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
  return {
    count: sorted.length,
    p50Ms: at(0.5),
    p99Ms: at(0.99),
    maxMs: sorted.at(-1),
  };
}

async function withPlatform(
  run: (platform: string) => Promise<void>,
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

async function measureNodes(size: number, platform: string): Promise<void> {
  const fleet = new NodeFleet(platform);
  forgetDuties();
  followDuties(fleet);
  try {
    await fleet.start(size);
    await new Promise((resolve) => setTimeout(resolve, joinMs));
    const rest = await measureRest(fleet, platform, restSeconds);
    print({ scenario: "rest", size, ...rest });
    const marks = await spreadMarks(fleet, rounds * 2);
    print({ scenario: "mark", size, ...summarise(marks) });
    const versions = await spreadConfigurations(fleet, rounds * 2);
    print({ scenario: "configuration", size, ...summarise(versions) });
    const one = await killOne(fleet, rounds);
    print({ scenario: "death", size, ...summarise(one.notice) });
    print({ scenario: "duty", size, ...summarise(one.duties) });
    const third = await killThird(fleet);
    print({ scenario: "third_death", size, ...summarise(third.notice) });
    print({ scenario: "third_duty", size, ...summarise(third.duties) });
    const after = await measureRest(fleet, platform, restSeconds);
    print({ scenario: "rest_after_third", size, ...after });
  } finally {
    fleet.stop();
  }
}

if (!options["help"]) {
  for (const size of sizesOf("processes")) {
    await withPlatform((platform) => measureNodes(size, platform));
  }
  for (const size of sizesOf("real")) {
    for (const figures of await measureProcesses(size, restSeconds)) {
      print({ scenario: "real", size, ...figures });
    }
  }
}
