import { readFile } from "node:fs/promises";
import { z } from "zod";

/** Decisions read from saved logs, and the number of other lines. */
export interface SavedLogs {
  /** Decisions of all files, in the order of the files. */
  readonly decisions: readonly LoggedDecision[];
  /** Number of non-empty lines without a decision, such as start-up lines. */
  readonly otherLines: number;
}

/** Schema of a log line about one decision. */
const decisionSchema = z.object({
  vm: z.string(),
  /** Milliseconds since the Unix epoch by the clock of the VM. */
  at: z.number(),
  kind: z.string(),
  subject: z.string(),
  reason: z.string(),
  figures: z.record(
    z.string(),
    z.union([z.string(), z.number(), z.boolean(), z.null()]),
  ),
  /** Lines of this kind and reason that the rate limit left out before it. */
  leftOut: z.number().optional(),
  /** Lines of any kind that were dropped before it, as the reader was slow. */
  unread: z.number().optional(),
});

/** A log line about one decision. */
export type LoggedDecision = Readonly<z.output<typeof decisionSchema>>;

/** Keys of `figures` whose value is the id of an upstream. */
const upstreamFigureNames = ["upstream", "copy", "from", "to"];

/** Reads saved logs. Log collectors may have put a prefix before each line. */
export async function readLogs(
  paths: readonly string[],
): Promise<SavedLogs> {
  const texts = await Promise.all(paths.map((path) => readFile(path, "utf8")));
  const lines = texts.flatMap((text) => text.split("\n"))
    .filter((line) => line.trim() !== "");
  const decisions = lines.map(parseLine).filter((decision) =>
    decision !== null
  );
  return { decisions, otherLines: lines.length - decisions.length };
}

/**
 * Returns the decisions about one request in the order of time, together with
 * the state changes of its upstreams until its last decision, as seen by the
 * processes that handled it.
 */
export function explainRequest(
  decisions: readonly LoggedDecision[],
  requestId: string,
): readonly LoggedDecision[] {
  const requestDecisions = decisions.filter(({ subject }) =>
    subject === requestId
  );
  const processes = new Set(requestDecisions.map(({ vm }) => vm));
  const upstreams = new Set(
    requestDecisions.flatMap(({ figures }) =>
      upstreamFigureNames.map((name) => figures[name])
    ),
  );
  const endedAt = Math.max(...requestDecisions.map(({ at }) => at));
  const upstreamDecisions = decisions.filter(({ kind, subject, vm, at }) =>
    kind === "member" && upstreams.has(subject) && processes.has(vm) &&
    at <= endedAt
  );
  return [...upstreamDecisions, ...requestDecisions].sort((a, b) =>
    a.at - b.at
  );
}

function parseLine(line: string): LoggedDecision | null {
  const jsonStart = line.indexOf("{");
  if (jsonStart < 0) {
    return null;
  }
  try {
    const document = JSON.parse(line.slice(jsonStart)) as unknown;
    return decisionSchema.safeParse(document).data ?? null;
  } catch {
    // Output of other programs or a truncated line; counted in `otherLines`.
    return null;
  }
}
