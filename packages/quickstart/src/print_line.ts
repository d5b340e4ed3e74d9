/** Writes a line to standard output. */
export function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}
