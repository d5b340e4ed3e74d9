import { readFileSync } from "node:fs";
import { sampleStatement, System } from "@lavenderferry/proof";

/** Mean usage of the processes of one role while they are idle. */
export interface RoleFigures {
  readonly role: string;
  readonly processes: number;
  /** Fraction of one core. */
  readonly processorShare: number;
  readonly residentMegabytes: number;
}

const ticksPerSecond = 100;

/** Time for processes to join and for their code to be compiled. */
const warmUpMs = 30_000;

/** Measures idle entries and stewards, half of `size` each. */
export async function measureIdleProcesses(
  size: number,
  seconds: number,
): Promise<readonly RoleFigures[]> {
  const entryCount = Math.floor(size / 2);
  const system = new System({
    entries: entryCount,
    stewards: size - entryCount,
    engines: 2,
    services: [],
  });
  try {
    await system.startWithConfiguration(sampleStatement);
    await delay(warmUpMs);
    const secondsBefore = new Map(
      [...system.programs].map((
        [name, { pid }],
      ) => [name, readProcessorSeconds(pid)]),
    );
    await delay(seconds * 1_000);
    return ["entry", "steward"].map((role) => {
      const programs = [...system.programs].filter(([name]) =>
        name.startsWith(`${role}-`)
      );
      const processorSeconds = programs.map(([name, { pid }]) =>
        readProcessorSeconds(pid) - (secondsBefore.get(name) ?? 0)
      );
      const residentBytes = programs.map(([, { pid }]) =>
        readResidentBytes(pid)
      );
      return {
        role,
        processes: programs.length,
        processorShare: mean(processorSeconds) / seconds,
        residentMegabytes: mean(residentBytes) / 1e6,
      };
    });
  } finally {
    await system.stop();
  }
}

/** Returns the processor time since the start of the process. */
function readProcessorSeconds(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

function readResidentBytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+) kB/.exec(text)?.[1] ?? 0) * 1_024;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
