import Table from "cli-table3";

/** Writes a line to standard output. */
export function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Writes a value as indented JSON to standard output. */
export function printJson(value: unknown): void {
  printLine(JSON.stringify(value, null, 2));
}

/** Writes a table with column headings to standard output. */
export function printTable(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): void {
  const table = new Table({
    head: [...headings],
    style: { head: [], border: [] },
  });
  for (const row of rows) {
    table.push([...row]);
  }
  printLine(table.toString());
}
