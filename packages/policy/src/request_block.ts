/** Distinguishes ids of requests from those of blocks of prompts. */
const requestPrefix = "request:";

/**
 * Returns the id under which a request as a whole is suspected. `fingerprint` is
 * what equal requests of one caller share.
 */
export function requestBlockOf(fingerprint: string): string {
  return `${requestPrefix}${fingerprint}`;
}

/** Whether an id stands for a request as a whole. */
export function isRequestBlock(block: string): boolean {
  return block.startsWith(requestPrefix);
}
