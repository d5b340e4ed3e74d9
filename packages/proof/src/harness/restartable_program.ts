import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";

const bytesPerMb = 1_000_000;
const bytesPerKb = 1_024;

/** Milliseconds between two samples of the memory. */
const samplePeriodMs = 20;

/** Characters of standard error that are kept. */
const maxErrorLength = 4_000;

/** The end of one run of a program. */
export interface ProgramEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** Signal by which the harness asked for the end; `null`: it did not. */
  readonly wanted: NodeJS.Signals | null;
  /** Start of what the program wrote to its standard error. */
  readonly error: string;
  /** Milliseconds since its start. */
  readonly afterMs: number;
}

/** A program that is started, signalled and started again. */
export class RestartableProgram {
  /** All ends, in order. */
  readonly ends: ProgramEnd[] = [];
  readonly #args: readonly string[];
  readonly #env: Readonly<Record<string, string>>;
  #child: ChildProcess | null = null;
  #wanted: NodeJS.Signals | null = null;
  #peakKb = 0;

  /** `args` are those of Node, `env` is the whole environment but for PATH. */
  constructor(args: readonly string[], env: Readonly<Record<string, string>>) {
    this.#args = args;
    this.#env = env;
  }

  /** Whether the program runs. */
  get running(): boolean {
    return this.#child !== null;
  }

  /**
   * Largest memory of its own that any run has taken, in megabytes, without
   * pages of files that are mapped.
   */
  get peakMemoryMb(): number {
    return this.#peakKb * bytesPerKb / bytesPerMb;
  }

  /** Starts the program, unless it runs; returns before it listens. */
  start(): void {
    if (this.#child !== null) {
      return;
    }
    const startedAt = performance.now();
    const child = spawn(process.execPath, this.#args, {
      stdio: ["ignore", "ignore", "pipe"],
      env: { PATH: process.env["PATH"], ...this.#env, UV_USE_IO_URING: "0" },
    });
    this.#child = child;
    this.#wanted = null;
    const sampler = setInterval(() => this.#sampleMemory(), samplePeriodMs);
    let error = "";
    child.stderr.on("data", (chunk: Buffer) => {
      error = (error + chunk.toString()).slice(0, maxErrorLength);
    });
    child.on("exit", (code, signal) => {
      this.#child = null;
      clearInterval(sampler);
      const afterMs = Math.round(performance.now() - startedAt);
      this.ends.push({ code, signal, wanted: this.#wanted, error, afterMs });
    });
  }

  /** Sends a signal that the program is expected to survive. */
  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Sends a signal that is expected to end the program. */
  stop(signal: "SIGTERM" | "SIGKILL"): void {
    this.#wanted = signal;
    this.#child?.kill(signal);
  }

  /** Kills the program, if it runs, and waits for its end. */
  async kill(): Promise<void> {
    const child = this.#child;
    if (child !== null) {
      const ended = once(child, "exit");
      this.stop("SIGKILL");
      await ended;
    }
  }

  #sampleMemory(): void {
    try {
      const path = `/proc/${this.#child?.pid ?? 0}/status`;
      const [, kb] = /RssAnon:\s*(\d+)/.exec(readFileSync(path, "utf8")) ?? [];
      this.#peakKb = Math.max(this.#peakKb, Number(kb ?? 0));
    } catch {
      // The program has just ended.
    }
  }
}
