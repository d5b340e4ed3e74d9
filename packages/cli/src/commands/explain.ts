import { KnownError } from "@lavenderferry/errors";
import { z } from "zod";
import { printJson, printTable } from "../util/print.ts";
import type { LoggedDecision } from "../util/saved_logs.ts";
import { explainRequest, readLogs } from "../util/saved_logs.ts";
import type { Command, CommandContext } from "./command.ts";

const explanationSchema = z.object({
  decisions: z.array(z.object({
    at: z.number(),
    process: z.string(),
    kind: z.string(),
    reason: z.string(),
    figures: z.string(),
  })),
});

type Decision = z.infer<typeof explanationSchema>["decisions"][number];

/**
 * Prints the decisions about one request, from all running processes or from
 * saved logs.
 */
export const explain: Command = {
  usage: "explain <request> [...logs]",
  description: "Print the decisions about one request, also from saved logs",
  run: async (context, subject = "", ...logs) => {
    if (logs.length > 0) {
      await explainLogs(context, subject, logs);
      return;
    }
    const path = `explain/${encodeURIComponent(subject)}`;
    const { body } = await context.client.send(path);
    if (context.json) {
      printJson(body);
      return;
    }
    const { decisions } = explanationSchema.parse(body);
    if (decisions.length === 0) {
      throw createNotFoundError(
        `No process holds a decision about "${subject}"`,
      );
    }
    printDecisions(decisions);
  },
};

async function explainLogs(
  { json }: CommandContext,
  subject: string,
  paths: readonly string[],
): Promise<void> {
  const { decisions, otherLines } = await readLogs(paths);
  const found = explainRequest(decisions, subject);
  if (found.length === 0) {
    const counts =
      `${decisions.length} decisions and ${otherLines} other lines`;
    throw createNotFoundError(
      `The logs hold no decision about "${subject}" (${counts})`,
    );
  }
  if (json) {
    printJson({ decisions: found, otherLines });
    return;
  }
  printDecisions(found.map((decision) => ({
    ...decision,
    process: decision.vm,
    kind: decision.subject === subject
      ? decision.kind
      : `${decision.kind} ${decision.subject}`,
    figures: describeFigures(decision),
  })));
}

function describeFigures(
  { figures, leftOut = 0, unread = 0 }: LoggedDecision,
): string {
  const missingLineCounts = {
    ...(leftOut === 0 ? {} : { leftOut }),
    ...(unread === 0 ? {} : { unread }),
  };
  return Object.entries({ ...figures, ...missingLineCounts })
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(" ");
}

function printDecisions(decisions: readonly Decision[]): void {
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
}

function createNotFoundError(message: string): Error {
  return new KnownError(message, { kind: "not_found" });
}
