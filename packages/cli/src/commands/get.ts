import type { Statement, WorkClass } from "@lavenderferry/configuration";
import { partsPerUnit } from "@lavenderferry/configuration";
import { readCurrent } from "../util/current_statement.ts";
import { printJson, printLine, printTable } from "../util/print.ts";
import type { Command } from "./command.ts";

const percent = 100;

/** Prints the newest configuration; with `--json` in the form of `apply`. */
export const get: Command = {
  usage: "get",
  description: "Print the newest configuration",
  run: async ({ client, json }) => {
    const { version, effectiveAt, author, statement } = await readCurrent(
      client,
    );
    if (json) {
      printJson({ version, effectiveAt, author, ...statement });
      return;
    }
    const since = new Date(effectiveAt).toISOString();
    printLine(`Version ${version} by ${author || "nobody"}, from ${since}`);
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
      `${share * percent / partsPerUnit} %`,
    ])
  );
  printTable(["split", "partner", "title", "share"], rows);
}
