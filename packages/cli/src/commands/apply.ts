import { KnownError } from "@lavenderferry/errors";
import { loadSettings } from "@lavenderferry/settings";
import { isConflict } from "../util/operator_client.ts";
import { parseVersion } from "../util/parse_option.ts";
import { printChanges } from "../util/print_changes.ts";
import { printJson, printLine } from "../util/print.ts";
import { readDifference } from "../util/read_difference.ts";
import { statementFileSchema, toStatement } from "../util/statement_file.ts";
import type { Command, CommandContext } from "./command.ts";

/**
 * Replaces the newest configuration by that of a file. If another version was
 * accepted since the file was made, prints what changed and fails.
 */
export const apply: Command = {
  usage: "apply <file>",
  description: "Set classes, targets and splits from a file",
  options: [{
    usage: "--if-version <n>",
    description: "Version that the file was made from",
  }],
  run: async (context, file = "") => {
    const { client, json, options } = context;
    const statementFile = loadSettings(file, statementFileSchema);
    const ifVersion = parseVersion("--if-version", options["ifVersion"]) ??
      statementFile.version;
    if (ifVersion === undefined) {
      throw new KnownError(
        `${file}: the member "version" is missing; ` +
          "add the version that the file was made from, or give --if-version",
        { kind: "bad_request" },
      );
    }
    try {
      const { body } = await client.send("configuration", {
        method: "PUT",
        body: toStatement(statementFile),
        ifVersion,
      });
      if (json) {
        printJson(body);
        return;
      }
      const { version: acceptedVersion, effectiveAt } = body;
      printLine(`Version ${acceptedVersion} takes effect at ${effectiveAt}`);
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
  const { to, changes } = await readDifference(client, { from: ifVersion });
  if (json) {
    printJson({ conflict: { ifVersion, version: to, changes } });
    return;
  }
  printLine(`Changed between version ${ifVersion} and version ${to}:`);
  printChanges(changes);
}
