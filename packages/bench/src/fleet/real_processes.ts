import { readFileSync } from "node:fs";
import { sampleStatement, System } from "@lavenderferry/proof";

/** What one role's processes use while nothing happens. */
export interface RoleFigures {
  readonly role: string;
  readonly processes: number;
  readonly processorShare: number;
  readonly residentMegabytes: number;
}

const ticksPerSecond = 100;

/** Measures real entries and stewards at rest, half and half. */
export async function measureProcesses(
  size: number,
  seconds: number,
): Promise<readonly RoleFigures[]> {
  const half = Math.floor(size / 2);
  const system = new System({
    entries: half,
    stewards: size - half,
    engines: 2,
    services: [],
  });
  try {
    await system.startWith(sampleStatement);
    await pause(10_000);
    const before = new Map(
      [...system.programs].map(([name, { pid }]) => [name, processorOf(pid)]),
    );
    await pause(seconds * 1_000);
    return ["entry", "steward"].map((role) => {
      const programs = [...system.programs].filter(([name]) =>
        name.startsWith(`${role}-`)
      );
      const used = programs.map(([name, { pid }]) =>
        processorOf(pid) - (before.get(name) ?? 0)
      );
      const resident = programs.map(([, { pid }]) => residentOf(pid));
      return {
        role,
        processes: programs.length,
        processorShare: mean(used) / seconds,
        residentMegabytes: mean(resident) / 1e6,
      };
    });
  } finally {
    await system.stop();
  }
}

/** Seconds of processor time that a process has used. */
function processorOf(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

function residentOf(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+) kB/.exec(text)?.[1] ?? 0) * 1_024;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, each) => sum + each, 0) / values.length;
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
