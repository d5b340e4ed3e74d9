import { z } from "zod";
import { parseVersion } from "../util/parse_option.ts";
import { describeEntity } from "../util/print_changes.ts";
import { printJson, printTable } from "../util/print.ts";
import { changesSchema } from "../util/read_difference.ts";
import type { Command } from "./command.ts";

const historySchema = z.object({
  versions: z.array(z.object({
    version: z.number(),
    author: z.string(),
    effectiveAt: z.number(),
    changes: changesSchema.optional(),
  })),
});

/** Prints the accepted versions of the configuration and what each changed. */
export const history: Command = {
  usage: "history",
  description: "Print the accepted versions",
  options: [{
    usage: "--after <n>",
    description: "Only versions after this one",
  }],
  run: async ({ client, json, options }) => {
    const after = parseVersion("--after", options["after"]) ?? 0;
    const { body } = await client.send(`history?after=${after}`);
    if (json) {
      printJson(body);
      return;
    }
    const { versions } = historySchema.parse(body);
    printTable(
      ["version", "author", "in force from", "changes"],
      versions.map(({ version, author, effectiveAt, changes = [] }) => [
        String(version),
        author,
        new Date(effectiveAt).toISOString(),
        changes.map(describeEntity).join(", "),
      ]),
    );
  },
};
