import { KnownError } from "@lavenderferry/errors";
import { loadSettings } from "@lavenderferry/settings";
import { isConflict } from "../util/operator_client.ts";
import { parseVersion } from "../util/parse_option.ts";
import { printChanges } from "../util/print_changes.ts";
import { printJson, printLine } from "../util/print.ts";
import { readDifference } from "../util/read_difference.ts";
import { statementFileSchema, toStatement } from "../util/statement_file.ts";
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
  const { to, changes } = await readDifference(client, { from: ifVersion });
  if (json) {
    printJson({ conflict: { ifVersion, version: to, changes } });
    return;
  }
  printLine(`Changed between version ${ifVersion} and version ${to}:`);
  printChanges(changes);
}
