import createXxhash from "xxhash-wasm";

const { h32 } = await createXxhash();

/** Returns an unsigned 32-bit hash of the text, the same in every process. */
export function hashText(text: string): number {
  return h32(text);
}
