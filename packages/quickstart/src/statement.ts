import type { Statement } from "@lavenderferry/configuration";
import { sampleStatement } from "@lavenderferry/proof";

/** The sample statement, with summaries delivered as a stream. */
export const initialStatement: Statement = {
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

/** Equal split of the cost of bookings, applied during the tour. */
export const equalSplit = {
  parts: { kowalczyk: 500_000, torutoode: 500_000 },
} as const;
