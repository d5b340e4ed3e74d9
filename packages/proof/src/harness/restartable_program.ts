import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { readdirSync, readFileSync } from "node:fs";

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
  /** Signals by which the harness asked for the end. */
  readonly wanted: readonly NodeJS.Signals[];
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
  #wanted: readonly NodeJS.Signals[] = [];
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

  /** Number of descriptors that the program has open; 0 if it does not run. */
  get openDescriptors(): number {
    try {
      return readdirSync(`/proc/${this.#child?.pid ?? 0}/fd`).length;
    } catch {
      return 0;
    }
  }

  /** Whether the program has a handler for a signal, by its number. */
  catches(signalNumber: number): boolean {
    const [, mask = "0"] = /SigCgt:\s*([0-9a-f]+)/.exec(this.#status) ?? [];
    // Until the program replaces it, the child is a copy of this process.
    const isStarted = this.#args.every((arg) =>
      this.#read("cmdline").includes(arg)
    );
    return isStarted &&
      (BigInt(`0x${mask}`) >> BigInt(signalNumber - 1)) % 2n === 1n;
  }

  /** What the system says of the process; empty if it does not run. */
  get #status(): string {
    return this.#read("status");
  }

  /** Reads a file of the process; empty if it does not run. */
  #read(name: string): string {
    try {
      return readFileSync(`/proc/${this.#child?.pid ?? 0}/${name}`, "utf8");
    } catch {
      return "";
    }
  }

  /** Starts the program, unless it runs; returns before it listens. */
  start(): void {
    if (this.#child !== null) {
      return;
    }
    const startedAt = performance.now();
    // A test runner adds options, which load code with handlers of signals.
    const words = ["-u", "NODE_OPTIONS", process.execPath, ...this.#args];
    const child = spawn("env", words, {
      stdio: ["ignore", "ignore", "pipe"],
      env: { PATH: process.env["PATH"], ...this.#env, UV_USE_IO_URING: "0" },
    });
    this.#child = child;
    this.#wanted = [];
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
    this.#wanted = [...this.#wanted, signal];
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
    const [, kb = 0] = /RssAnon:\s*(\d+)/.exec(this.#status) ?? [];
    this.#peakKb = Math.max(this.#peakKb, Number(kb));
  }
}
