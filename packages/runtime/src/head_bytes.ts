import type { IncomingMessage } from "node:http";

/** Copies that are kept of a head's characters, as received and as parsed. */
const copies = 2;

/** Bytes that the strings and the list entries of one field take besides. */
const fieldBytes = 72;

/** Estimates the memory that a head takes once it is parsed. */
export function estimateHeadBytes(length: number, fields: number): number {
  return copies * length + fieldBytes * fields;
}

/** Estimates the memory that the parsed head of a request takes. */
export function headBytesOf({ url = "", rawHeaders }: IncomingMessage): number {
  const length = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return estimateHeadBytes(url.length + length, rawHeaders.length / 2);
}
