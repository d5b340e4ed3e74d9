import { z } from "zod";
import { parseDay } from "../util/parse_option.ts";
import { printJson, printTable } from "../util/print.ts";
import type { Command } from "./command.ts";

const costsSchema = z.object({
  costs: z.array(z.object({
    day: z.string(),
    partner: z.string(),
    workClass: z.string(),
    unit: z.string(),
    microUnits: z.string(),
  })),
});

const microUnitsPerUnit = 1_000_000n;
const fractionDigits = 6;

/** Prints the settled cost by day, partner, class and unit. */
export const costs: Command = {
  usage: "costs",
  description: "Print the settled cost by partner and class",
  options: [
    { usage: "--from <day>", description: "First day in UTC, YYYY-MM-DD" },
    { usage: "--to <day>", description: "Last day in UTC, YYYY-MM-DD" },
  ],
  run: async ({ client, json, options }) => {
    const query = new URLSearchParams();
    for (const name of ["from", "to"]) {
      const day = parseDay(`--${name}`, options[name]);
      if (day !== undefined) {
        query.set(name, day);
      }
    }
    const queryText = query.size === 0 ? "" : `?${query.toString()}`;
    const { body } = await client.send(`costs${queryText}`);
    if (json) {
      printJson(body);
      return;
    }
    const lines = costsSchema.parse(body).costs;
    printTable(
      ["day", "partner", "class", "unit", "amount"],
      lines.map(({ day, partner, workClass, unit, microUnits }) => [
        day,
        partner,
        workClass,
        unit,
        formatUnits(BigInt(microUnits)),
      ]),
    );
  },
};

function formatUnits(microUnits: bigint): string {
  const fraction = String(microUnits % microUnitsPerUnit).padStart(
    fractionDigits,
    "0",
  );
  return `${microUnits / microUnitsPerUnit}.${fraction}`;
}
