import { readFile } from "node:fs/promises";
import { z } from "zod";

/** What saved logs say of one request. */
export interface Explanation {
  /** Decisions about the request and about the upstreams that it met. */
  readonly decisions: readonly LoggedDecision[];
  /** Lines that are no decisions, such as those of a start. */
  readonly otherLines: number;
}

/** Schema of a line that a process wrote about one decision. */
const decisionSchema = z.object({
  vm: z.string(),
  /** Unix milliseconds by the VM's clock. */
  at: z.number(),
  kind: z.string(),
  subject: z.string(),
  reason: z.string(),
  figures: z.record(
    z.string(),
    z.union([z.string(), z.number(), z.boolean(), z.null()]),
  ),
  /** Lines of this kind and reason that were not written before this one. */
  leftOut: z.number().optional(),
  /** Lines of any kind that were lost before this one. */
  unread: z.number().optional(),
});

/** A line that a process wrote about one decision. */
export type LoggedDecision = Readonly<z.output<typeof decisionSchema>>;

/** Figures that name an upstream. */
const upstreamFigures = ["upstream", "copy", "from", "to"];

/** Reads the decisions of saved logs; collectors may put text before each. */
export async function readLogs(
  paths: readonly string[],
): Promise<Explanation> {
  const texts = await Promise.all(paths.map((path) => readFile(path, "utf8")));
  const lines = texts.flatMap((text) => text.split("\n"))
    .filter((line) => line.trim() !== "");
  const decisions = lines.map(parseLine).filter((each) => each !== null);
  return { decisions, otherLines: lines.length - decisions.length };
}

/**
 * Returns what concerns one request, in the order of time: its own decisions,
 * and what its process believed of the upstreams that it met until it ended.
 */
export function explainRequest(
  decisions: readonly LoggedDecision[],
  requestId: string,
): readonly LoggedDecision[] {
  const own = decisions.filter(({ subject }) => subject === requestId);
  const processes = new Set(own.map(({ vm }) => vm));
  const upstreams = new Set(
    own.flatMap(({ figures }) => upstreamFigures.map((name) => figures[name])),
  );
  const endedAt = Math.max(...own.map(({ at }) => at));
  const met = decisions.filter(({ kind, subject, vm, at }) =>
    kind === "member" && upstreams.has(subject) && processes.has(vm) &&
    at <= endedAt
  );
  return [...met, ...own].sort((a, b) => a.at - b.at);
}

function parseLine(line: string): LoggedDecision | null {
  const start = line.indexOf("{");
  if (start < 0) {
    return null;
  }
  try {
    const document = JSON.parse(line.slice(start)) as unknown;
    return decisionSchema.safeParse(document).data ?? null;
  } catch {
    // Lines of other programs, and lines that were cut, are counted.
    return null;
  }
}
