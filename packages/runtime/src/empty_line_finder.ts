const lineFeed = 0x0a;

/** Finds empty lines in text that arrives in pieces. */
export class EmptyLineFinder {
  /** Bytes of the line that the text has ended in so far. */
  #lineLength = 0;

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
        return -1;
      }
      const length = this.#lineLength + end - start;
      this.#lineLength = 0;
      start = end + 1;
      // One byte is the carriage return before the line feed.
      if (length <= 1) {
        return start;
      }
    }
  }

  /** Continues as at the start of a line. */
  reset(): void {
    this.#lineLength = 0;
  }
}
