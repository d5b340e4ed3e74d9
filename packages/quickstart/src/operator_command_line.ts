import { spawn } from "node:child_process";
import { text } from "node:stream/consumers";
import { fileURLToPath } from "node:url";
import { cliPrograms } from "@lavenderferry/cli";
import { printLine } from "./print_line.ts";

const program = fileURLToPath(cliPrograms.lavenderferry);

/** Runs the operators' command line in a child process for each command. */
export class OperatorCommandLine {
  readonly #settingsPath: string;

  constructor(settingsPath: string) {
    this.#settingsPath = settingsPath;
  }

  /** Returns a command as it is typed in a shell. */
  formatCommand(...args: readonly string[]): string {
    return ["node", program, ...args, "--settings", this.#settingsPath].join(
      " ",
    );
  }

  /** Returns the output of a command; throws its error output if it fails. */
  async run(...args: readonly string[]): Promise<string> {
    const child = spawn(
      process.execPath,
      [program, ...args, "--settings", this.#settingsPath],
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

  /** Runs a command and prints the command and its output. */
  async runAndPrint(...args: readonly string[]): Promise<void> {
    const output = await this.run(...args);
    printLine(`$ lavenderferry ${args.join(" ")}`);
    printLine(output.trimEnd());
  }
}
