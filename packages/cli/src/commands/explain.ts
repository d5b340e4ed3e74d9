import { KnownError } from "@lavenderferry/errors";
import { z } from "zod";
import { printJson, printTable } from "../util/print.ts";
import type { Command } from "./command.ts";

const explanationSchema = z.object({
  decisions: z.array(z.object({
    at: z.number(),
    process: z.string(),
    kind: z.string(),
    reason: z.string(),
    figures: z.string(),
  })),
});

/** Prints every decision about one request, over all processes. */
export const explain: Command = {
  usage: "explain <request>",
  description: "Print the decisions about one request",
  run: async ({ client, json }, subject) => {
    const path = `explain/${encodeURIComponent(subject ?? "")}`;
    const { body } = await client.send(path);
    if (json) {
      printJson(body);
      return;
    }
    const { decisions } = explanationSchema.parse(body);
    if (decisions.length === 0) {
      throw new KnownError(`No process holds a decision about "${subject}"`, {
        kind: "not_found",
      });
    }
    printTable(
      ["at", "process", "decision", "reason", "figures"],
      decisions.map(({ at, process: vm, kind, reason, figures }) => [
        new Date(at).toISOString(),
        vm,
        kind,
        reason,
        figures,
      ]),
    );
  },
};
