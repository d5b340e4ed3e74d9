import type { Statement, WorkClass } from "@lavenderferry/configuration";
import { partsPerUnit } from "@lavenderferry/configuration";
import { readNewestConfiguration } from "../util/read_newest_configuration.ts";
import { printJson, printLine, printTable } from "../util/print.ts";
import type { Command } from "./command.ts";

const percentPerUnit = 100;

/**
 * Prints the newest configuration. The output of `--json` is a file that
 * `apply` accepts.
 */
export const get: Command = {
  usage: "get",
  description: "Print the newest configuration",
  run: async ({ client, json }) => {
    const { version, effectiveAt, author, statement } =
      await readNewestConfiguration(client);
    if (json) {
      printJson({ version, effectiveAt, author, ...statement });
      return;
    }
    const effectiveFrom = new Date(effectiveAt).toISOString();
    printLine(
      `Version ${version} by ${author || "nobody"}, from ${effectiveFrom}`,
    );
    printClasses(statement);
    printSplits(statement);
  },
};

function printClasses({ classes }: Statement): void {
  printTable(
    [
      "class",
      "split",
      "delivery",
      "first token",
      "between tokens",
      "stall",
      "preemptions",
      "completion",
      "share",
    ],
    Object.entries(classes).map(([name, workClass]) => [
      name,
      workClass.split,
      workClass.delivery,
      ...describeTargets(workClass),
    ]),
  );
}

function describeTargets({ targets }: WorkClass): readonly string[] {
  return [
    `${targets.firstTokenMs} ms`,
    `${targets.betweenTokensMs} ms`,
    `${targets.stallMs} ms`,
    `${targets.preemptionsPerThousand}/1000`,
    `${targets.completionMs} ms`,
    `${targets.percent} %`,
  ];
}

function printSplits({ splits, partners }: Statement): void {
  const rows = Object.entries(splits).flatMap(([name, { parts }]) =>
    Object.entries(parts).map(([partner, share]) => [
      name,
      partner,
      partners[partner]?.title ?? "",
      `${share * percentPerUnit / partsPerUnit} %`,
    ])
  );
  printTable(["split", "partner", "title", "share"], rows);
}
