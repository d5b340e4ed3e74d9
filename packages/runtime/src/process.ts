/** Exit codes of all programs; `usage`: bad arguments or settings. */
export const exitCodes = { ok: 0, failed: 1, usage: 2 } as const;

/** Prints an event as a line of JSON on standard output, for a supervisor. */
export function announce(event: string, fields: object): void {
  process.stdout.write(`${JSON.stringify({ event, ...fields })}\n`);
}
