const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** Finds empty lines in text that arrives in pieces. */
export class EmptyLineFinder {
  /** Bytes of the line that the text has ended in so far. */
  #lineLength = 0;
  /** The last byte of the piece before. */
  #lastByte = 0;
  #lines = 0;

  /** Complete lines since the last call of `reset`. */
  get lines(): number {
    return this.#lines;
  }

  /**
   * Returns the index after the first empty line that ends at or after `from`,
   * or -1 if there is none.
   */
  find(bytes: Uint8Array, from: number): number {
    let start = from;
    for (;;) {
      const end = bytes.indexOf(lineFeed, start);
      if (end < 0) {
        this.#lineLength += bytes.length - start;
        this.#lastByte = bytes.at(-1) ?? this.#lastByte;
        return -1;
      }
      this.#lines += 1;
      const length = this.#lineLength + end - start;
      const last = end > start ? bytes[end - 1] : this.#lastByte;
      this.#lineLength = 0;
      start = end + 1;
      if (length === 0 || (length === 1 && last === carriageReturn)) {
        return start;
      }
    }
  }

  /** Continues as at the start of a line. */
  reset(): void {
    this.#lineLength = 0;
    this.#lines = 0;
  }
}
