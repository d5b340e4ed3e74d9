import createXxhash from "xxhash-wasm";

const blockCharacters = 256;
const maxBlocks = 64;

const { h64ToString } = await createXxhash();

/**
 * Returns a digest per whole block of a prompt, covering all blocks up to it.
 * Engines publish the digests that their prefix cache stores and drops.
 */
export function prefixDigests(prompt: string): readonly string[] {
  const digests: string[] = [];
  let previous = "";
  for (
    let end = blockCharacters;
    end <= prompt.length && digests.length < maxBlocks;
    end += blockCharacters
  ) {
    const block = prompt.slice(end - blockCharacters, end);
    previous = h64ToString(previous + block);
    digests.push(previous);
  }
  return digests;
}

/** Estimated tokens per digested block. */
export const tokensPerBlock = blockCharacters / 4;

/** Estimates the number of tokens in a text as a quarter of its characters. */
export function estimateTokens(text: string): number {
  return Math.max(1, Math.ceil(text.length / 4));
}
