import type { Statement } from "@lavenderferry/configuration";
import { KnownError } from "@lavenderferry/errors";
import { loadSettings } from "@lavenderferry/settings";
import { readCurrent } from "../util/current_statement.ts";
import { diffStatements } from "../util/diff_statements.ts";
import { parseVersion } from "../util/parse_option.ts";
import { printChanges } from "../util/print_changes.ts";
import { printJson, printLine } from "../util/print.ts";
import { statementFileSchema, toStatement } from "../util/statement_file.ts";
import { readVersion } from "../util/version_statement.ts";
import type { Command, CommandContext } from "./command.ts";

/** Prints what differs between two versions, or what a file would change. */
export const diff: Command = {
  usage: "diff [file]",
  description: "Print what apply would change, or what versions changed",
  options: [
    { usage: "--from <n>", description: "Version to start from" },
    { usage: "--to <n>", description: "Version to compare it with" },
  ],
  run: async (context, file) => {
    const [before, after] = file === undefined
      ? await readVersions(context)
      : await readFile(context, file);
    const changes = diffStatements(before, after);
    if (context.json) {
      printJson({ changes });
    } else if (changes.length === 0) {
      printLine("No differences");
    } else {
      printChanges(changes);
    }
  },
};

async function readFile(
  { client, options }: CommandContext,
  file: string,
): Promise<readonly [Statement, Statement]> {
  if (options["from"] !== undefined || options["to"] !== undefined) {
    throw new KnownError("Expected either a file or --from and --to", {
      kind: "bad_request",
    });
  }
  const stated = loadSettings(file, statementFileSchema);
  const { statement } = await readCurrent(client);
  return [statement, toStatement(stated)];
}

async function readVersions(
  { client, options }: CommandContext,
): Promise<readonly [Statement, Statement]> {
  const from = parseVersion("--from", options["from"]);
  const to = parseVersion("--to", options["to"]);
  if (from === undefined) {
    throw new KnownError("Expected a file, or --from and --to", {
      kind: "bad_request",
    });
  }
  const before = await requireVersion(client, from);
  const after = to === undefined
    ? (await readCurrent(client)).statement
    : await requireVersion(client, to);
  return [before, after];
}

async function requireVersion(
  client: CommandContext["client"],
  version: number,
): Promise<Statement> {
  const statement = await readVersion(client, version);
  if (statement === null) {
    throw new KnownError(`Configuration version ${version} does not exist`, {
      kind: "not_found",
    });
  }
  return statement;
}
