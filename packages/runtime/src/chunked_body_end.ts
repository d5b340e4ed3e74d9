import { EmptyLineFinder } from "./empty_line_finder.ts";

const lineFeed = 0x0a;

/** Length of the line end that follows the data of a chunk. */
const dataEndLength = 2;

/**
 * Finds the end of a chunked body that arrives in pieces: the empty line behind
 * its last chunk. Node's parser checks the format; here only lengths are read, as
 * the data of chunks may hold empty lines.
 */
export class ChunkedBodyEnd {
  readonly #lines = new EmptyLineFinder();
  #isInTrailers = false;
  #trailerLength = 0;
  /** Bytes of the current chunk that follow its first line. */
  #left = 0;
  /** Length in the current chunk's first line, as far as it was read. */
  #size = 0;
  #isSizeRead = false;

  /** Bytes of the trailers that have arrived. */
  get trailerLength(): number {
    return this.#trailerLength;
  }

  /** Complete lines of the trailers that have arrived. */
  get trailerLines(): number {
    return this.#lines.lines;
  }

  /** Returns the index after the body, or -1 if it does not end here. */
  find(bytes: Uint8Array, from: number): number {
    let index = from;
    while (!this.#isInTrailers && index < bytes.length) {
      if (this.#left > 0) {
        const length = Math.min(this.#left, bytes.length - index);
        this.#left -= length;
        index += length;
      } else {
        this.#readFirstLine(bytes[index] as number);
        index += 1;
      }
    }
    if (!this.#isInTrailers) {
      return -1;
    }
    const end = this.#lines.find(bytes, index);
    this.#trailerLength += (end < 0 ? bytes.length : end) - index;
    return end;
  }

  /** Continues as at the start of a body. */
  reset(): void {
    this.#lines.reset();
    this.#isInTrailers = false;
    this.#trailerLength = 0;
    this.#left = 0;
    this.#startFirstLine();
  }

  #readFirstLine(byte: number): void {
    if (byte === lineFeed) {
      this.#isInTrailers = this.#size === 0;
      this.#left = this.#size + dataEndLength;
      this.#startFirstLine();
      return;
    }
    const digit = Number.parseInt(String.fromCharCode(byte), 16);
    this.#isSizeRead ||= Number.isNaN(digit);
    if (!this.#isSizeRead) {
      this.#size = this.#size * 16 + digit;
    }
  }

  #startFirstLine(): void {
    this.#size = 0;
    this.#isSizeRead = false;
  }
}
