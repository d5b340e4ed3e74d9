import { KnownError } from "@lavenderferry/errors";
import { loadSettings } from "@lavenderferry/settings";
import type { StatedVersion } from "../util/current_statement.ts";
import { readCurrent } from "../util/current_statement.ts";
import { diffStatements } from "../util/diff_statements.ts";
import { isConflict } from "../util/operator_client.ts";
import { parseVersion } from "../util/parse_option.ts";
import { printChanges } from "../util/print_changes.ts";
import { printJson, printLine } from "../util/print.ts";
import { statementFileSchema, toStatement } from "../util/statement_file.ts";
import { readVersion } from "../util/version_statement.ts";
import type { Command, CommandContext } from "./command.ts";

/** States a configuration in place of the version that it was made from. */
export const apply: Command = {
  usage: "apply <file>",
  description: "State classes, targets and splits from a file",
  options: [{
    usage: "--if-version <n>",
    description: "Version that the file was made from",
  }],
  run: async (context, file = "") => {
    const { client, json, options } = context;
    const stated = loadSettings(file, statementFileSchema);
    const ifVersion = parseVersion("--if-version", options["ifVersion"]) ??
      stated.version;
    if (ifVersion === undefined) {
      throw new KnownError(
        `${file}: the member "version" is missing; ` +
          "state the version that the file was made from, or --if-version",
        { kind: "bad_request" },
      );
    }
    try {
      const { body } = await client.send("configuration", {
        method: "PUT",
        body: toStatement(stated),
        ifVersion,
      });
      if (json) {
        printJson(body);
        return;
      }
      const { version: accepted, effectiveAt } = body;
      printLine(`Version ${accepted} takes force at ${effectiveAt}`);
    } catch (error) {
      if (isConflict(error)) {
        await showConflict(context, ifVersion);
      }
      throw error;
    }
  },
};

async function showConflict(
  { client, json }: CommandContext,
  ifVersion: number,
): Promise<void> {
  const current = await readCurrent(client);
  const before = await readVersion(client, ifVersion);
  if (before === null) {
    return;
  }
  const changes = diffStatements(before, current.statement);
  const { version, author } = current;
  if (json) {
    printJson({ conflict: { ifVersion, version, author, changes } });
    return;
  }
  printLine(describeConflict(ifVersion, current));
  printChanges(changes);
}

function describeConflict(
  ifVersion: number,
  { version, author }: StatedVersion,
): string {
  return `Changed between version ${ifVersion} and version ${version}, ` +
    `last by ${author}:`;
}
