import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const startTimeoutMs = 20_000;

/** Line that a program prints once it listens. */
export interface ListeningEvent {
  readonly address: string;
  /** Address that serves other processes; entries and stewards print it. */
  readonly peers?: string;
  /** Identifies this start of the process. */
  readonly epoch?: string;
}

/** Child process of the harness. */
export class Program {
  readonly name: string;
  readonly listening: ListeningEvent;
  readonly #child: ChildProcess;

  constructor(name: string, listening: ListeningEvent, child: ChildProcess) {
    this.name = name;
    this.listening = listening;
    this.#child = child;
  }

  /** Process id, 0 if the process could not be started. */
  get pid(): number {
    return this.#child.pid ?? 0;
  }

  /** Whether the process has exited. */
  get exited(): boolean {
    return this.#child.exitCode !== null || this.#child.signalCode !== null;
  }

  /** Sends a signal without waiting for its effect. */
  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** Waits for the exit and returns the code, `null` after a signal. */
  async waitForExit(): Promise<number | null> {
    if (!this.exited) {
      await once(this.#child, "exit");
    }
    return this.#child.exitCode;
  }

  /** Sends SIGKILL and waits for the exit. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.waitForExit();
  }
}

/** Starts a program and waits until it listens; throws if it does not. */
export async function startProgram(
  name: string,
  program: URL,
  args: readonly string[],
): Promise<Program> {
  const child = spawn(process.execPath, [fileURLToPath(program), ...args], {
    stdio: ["ignore", "pipe", "pipe"],
    env: { ...process.env, UV_USE_IO_URING: "0" },
  });
  let stderrTail = "";
  child.stderr.on("data", (chunk: Buffer) => {
    stderrTail = (stderrTail + chunk.toString()).slice(-4_000);
    if (process.env["SHOW_LOGS"]) {
      process.stderr.write(`[${name}] ${chunk.toString()}`);
    }
  });
  child.on("exit", (code, signal) => {
    if (process.env["SHOW_LOGS"]) {
      process.stderr.write(`[${name}] exited: ${code ?? signal}\n`);
    }
  });
  const timer = setTimeout(() => child.kill("SIGKILL"), startTimeoutMs);
  try {
    for await (const line of createInterface({ input: child.stdout })) {
      const message = JSON.parse(line) as ListeningEvent & { event: string };
      if (message.event === "listening") {
        child.stdout.resume();
        return new Program(name, message, child);
      }
    }
  } finally {
    clearTimeout(timer);
  }
  throw new Error(`Program "${name}" did not start: ${stderrTail}`);
}
