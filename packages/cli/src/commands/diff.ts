import type { EntityDifference } from "@lavenderferry/configuration";
import { diffStatements } from "@lavenderferry/configuration";
import { KnownError } from "@lavenderferry/errors";
import { loadSettings } from "@lavenderferry/settings";
import { readNewestConfiguration } from "../util/read_newest_configuration.ts";
import { parseVersion } from "../util/parse_option.ts";
import { printChanges } from "../util/print_changes.ts";
import { printJson, printLine } from "../util/print.ts";
import { readDifference } from "../util/read_difference.ts";
import { statementFileSchema, toStatement } from "../util/statement_file.ts";
import type { Command, CommandContext } from "./command.ts";

/**
 * Prints how a file differs from the newest configuration, or how two versions
 * differ.
 */
export const diff: Command = {
  usage: "diff [file]",
  description: "Print what apply would change, or what versions changed",
  options: [
    { usage: "--from <n>", description: "Version to start from" },
    { usage: "--to <n>", description: "Version to compare it with" },
  ],
  run: async (context, file) => {
    const changes = file === undefined
      ? await compareVersions(context)
      : await compareFile(context, file);
    if (context.json) {
      printJson({ changes });
    } else if (changes.length === 0) {
      printLine("No differences");
    } else {
      printChanges(changes);
    }
  },
};

async function compareFile(
  { client, options }: CommandContext,
  file: string,
): Promise<readonly EntityDifference[]> {
  if (options["from"] !== undefined || options["to"] !== undefined) {
    throw new KnownError("Expected either a file or --from and --to", {
      kind: "bad_request",
    });
  }
  const statementFile = loadSettings(file, statementFileSchema);
  const { statement } = await readNewestConfiguration(client);
  return diffStatements(statement, toStatement(statementFile));
}

async function compareVersions(
  { client, options }: CommandContext,
): Promise<readonly EntityDifference[]> {
  const from = parseVersion("--from", options["from"]);
  const to = parseVersion("--to", options["to"]);
  const { changes } = await readDifference(client, { from, to });
  return changes;
}
