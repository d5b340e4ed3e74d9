import createXxhash from "xxhash-wasm";

const blockCharacters = 256;
const maxBlocks = 64;

const { h64ToString } = await createXxhash();

/**
 * Returns a digest per whole block of a prompt, covering all blocks up to it.
 * Engines publish the digests that their prefix cache stores and drops.
 */
export function prefixDigests(prompt: string): readonly string[] {
  const blocks: string[] = [];
  for (
    let end = blockCharacters;
    end <= prompt.length && blocks.length < maxBlocks;
    end += blockCharacters
  ) {
    blocks.push(prompt.slice(end - blockCharacters, end));
  }
  return chainDigests(blocks);
}

/**
 * Returns a digest per block, covering all blocks up to it. All processes return
 * the same digests, each of the same length whatever the blocks.
 */
export function chainDigests(blocks: readonly string[]): readonly string[] {
  let previous = "";
  return blocks.map((block) => previous = h64ToString(previous + block));
}

/** Estimated tokens per digested block. */
export const tokensPerBlock = blockCharacters / 4;

/** Estimates the number of tokens in a text as a quarter of its characters. */
export function estimateTokens(text: string): number {
  return Math.max(1, Math.ceil(text.length / 4));
}
