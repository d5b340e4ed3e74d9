#!/usr/bin/env node
import { exitCodes } from "@lavenderferry/runtime";
import { cac } from "cac";
import { runFaults } from "./run_faults.ts";

const millisecondsPerMinute = 60_000;

const cli = cac("faults");
cli.option("--seed <number>", "Seed of the fault schedule", { default: 1 });
cli.option("--minutes <number>", "Length of the fault schedule in minutes", {
  default: 1,
});
cli.option(
  "--without <kinds>",
  "Comma-separated kinds of faults to leave out",
  {
    default: "",
  },
);
cli.help();
const { options } = cli.parse();

if (!options["help"]) {
  const report = await runFaults({
    seed: Number(options["seed"]),
    durationMs: Number(options["minutes"]) * millisecondsPerMinute,
    without: String(options["without"]).split(","),
  });
  process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
  process.exit(
    report.violations.length === 0 ? exitCodes.ok : exitCodes.failed,
  );
}
