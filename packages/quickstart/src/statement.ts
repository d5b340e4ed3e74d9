import type { Statement } from "@lavenderferry/configuration";
import { sampleStatement } from "@lavenderferry/proof";

/** The sample statement, with Summaries that arrive token by token. */
export const firstStatement: Statement = {
  ...sampleStatement,
  classes: Object.fromEntries(
    Object.entries(sampleStatement.classes).map(([name, workClass]) => [
      name,
      name === "summary"
        ? { ...workClass, delivery: "stream" as const }
        : workClass,
    ]),
  ),
};

/** The split of the bookings after the partners have agreed on halves. */
export const equalParts = {
  parts: { kowalczyk: 500_000, torutoode: 500_000 },
} as const;
