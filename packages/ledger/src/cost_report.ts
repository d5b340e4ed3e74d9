import type { Row, Table } from "@lavenderferry/platform";
import { dayPrefix, dayTotalsSchema } from "./shard.ts";

const rowsPerPage = 200;

/** Days of a report, as `YYYY-MM-DD`; both ends are included. */
export interface Period {
  readonly from: string;
  readonly to: string;
}

/** A period that contains every day. */
export const allDays: Period = { from: "0000-01-01", to: "9999-12-31" };

/** The cost of one day, partner, work class and unit. */
export interface CostLine {
  /** Day in UTC, as `YYYY-MM-DD`. */
  readonly day: string;
  readonly partner: string;
  readonly workClass: string;
  readonly unit: string;
  /** Cost in millionths of a unit. */
  readonly microUnits: bigint;
}

/** Reads the settled costs of a period, summed over all shards. */
export async function readCosts(
  table: Table,
  { from, to }: Period = allDays,
): Promise<readonly CostLine[]> {
  const sums = new Map<string, bigint>();
  const end = `${dayPrefix}${to}/~`;
  let after = `${dayPrefix}${from}`;
  for (;;) {
    const rows = await table.scan(dayPrefix, "reports", {
      after,
      limit: rowsPerPage,
    });
    for (const row of rows.filter(({ key }) => key <= end)) {
      addRow(sums, row);
    }
    const last = rows.at(-1);
    if (last === undefined || last.key > end || rows.length < rowsPerPage) {
      return linesOf(sums);
    }
    after = last.key;
  }
}

function addRow(sums: Map<string, bigint>, { key, value }: Row): void {
  const [day = ""] = key.slice(dayPrefix.length).split("/");
  const { totals } = dayTotalsSchema.parse(value);
  for (const [name, text] of Object.entries(totals)) {
    const lineKey = `${day}|${name}`;
    sums.set(lineKey, (sums.get(lineKey) ?? 0n) + BigInt(text));
  }
}

function linesOf(sums: ReadonlyMap<string, bigint>): readonly CostLine[] {
  const lineKeys = [...sums.keys()].sort();
  return lineKeys.map((lineKey) => {
    const [day = "", partner = "", workClass = "", unit = ""] = lineKey.split(
      "|",
    );
    return {
      day,
      partner,
      workClass,
      unit,
      microUnits: sums.get(lineKey) ?? 0n,
    };
  });
}
