const maxIds = 4_096;

/** The ids that were added last, up to a number. */
export class RecentIds {
  readonly #ids = new Set<string>();

  /** Whether an id is one of them. */
  has(id: string): boolean {
    return this.#ids.has(id);
  }

  /** Adds an id, in place of the oldest one if there are too many. */
  add(id: string): void {
    this.#ids.add(id);
    const [oldest] = this.#ids;
    if (this.#ids.size > maxIds && oldest !== undefined) {
      this.#ids.delete(oldest);
    }
  }
}
