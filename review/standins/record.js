import { writeFileSync } from "node:fs";
import { join } from "node:path";

/** Collects lines and writes them as `record.txt` into a case's folder. */
export class Record {
  #lines = [];
  #startedAt = performance.now();

  constructor(folder) {
    this.path = join(folder, "record.txt");
  }

  /** Seconds since the start. */
  get now() {
    return (performance.now() - this.#startedAt) / 1_000;
  }

  secondsOf(at) {
    return ((at - this.#startedAt) / 1_000).toFixed(3);
  }

  add(text) {
    this.#lines.push(`${this.now.toFixed(3)} ${text}`);
  }

  write() {
    writeFileSync(this.path, `${this.#lines.join("\n")}\n`);
  }
}
