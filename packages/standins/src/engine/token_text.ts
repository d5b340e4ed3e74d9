import createXxhash from "xxhash-wasm";

const { h32 } = await createXxhash();

const words = [
  "pipe",
  "lead",
  "house",
  "north",
  "valve",
  "street",
  "meter",
  "joint",
  "caller",
  "asks",
  "clinic",
  "date",
  "urgent",
  "slot",
  "bill",
  "power",
] as const;

/**
 * Returns the text of one token, derived from the generation and the index
 * alone. It differs between generations of the same prompt.
 */
export function tokenText(generationId: string, index: number): string {
  const digest = h32(`${generationId}/${index}`);
  const word = words[digest % words.length] ?? words[0];
  return `${word}-${(digest >>> 8).toString(36)} `;
}

const lengthMarker = /\[out:(\d+)\]/;

/**
 * Returns the number of output tokens for a prompt: N of a marker `[out:N]`,
 * otherwise 5 to 64, derived from a hash of the prompt.
 */
export function outputTokensOf(prompt: string): number {
  const match = lengthMarker.exec(prompt);
  return match === null ? 5 + (h32(prompt) % 60) : Number(match[1]);
}
