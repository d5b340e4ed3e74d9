import { spawn } from "node:child_process";
import { text } from "node:stream/consumers";
import { fileURLToPath } from "node:url";
import { cliPrograms } from "@lavenderferry/cli";
import { printLine } from "./print_line.ts";

const program = fileURLToPath(cliPrograms.lavenderferry);

/** Runs the operators' command line. */
export class OperatorShell {
  readonly #settings: string;

  constructor(settings: string) {
    this.#settings = settings;
  }

  /** The command line as a person would type it. */
  line(...args: readonly string[]): string {
    return ["node", program, ...args, "--settings", this.#settings].join(" ");
  }

  /** Runs a command and returns its output; a failed one throws. */
  async run(...args: readonly string[]): Promise<string> {
    const child = spawn(
      process.execPath,
      [program, ...args, "--settings", this.#settings],
      {
        stdio: ["ignore", "pipe", "pipe"],
        env: { ...process.env, UV_USE_IO_URING: "0" },
      },
    );
    const [output, errors, code] = await Promise.all([
      text(child.stdout),
      text(child.stderr),
      new Promise((resolve) => child.once("exit", resolve)),
    ]);
    if (code !== 0) {
      throw new Error(errors);
    }
    return output;
  }

  /** Runs a command and prints it together with its output. */
  async show(...args: readonly string[]): Promise<void> {
    const output = await this.run(...args);
    printLine(`$ lavenderferry ${args.join(" ")}`);
    printLine(output.trimEnd());
  }
}
