import { readFileSync } from "node:fs";

/** What a process has used so far. */
export interface ProcessUsage {
  /** Processor time in microseconds, in user and system mode. */
  readonly processorMicroseconds: number;
  readonly residentBytes: number;
}

const ticksPerSecond = 100;
const pageBytes = 4_096;
const userTicksField = 13;
const systemTicksField = 14;
const residentField = 23;

/** Reads a process's use from the kernel's statistics (proc(5)). */
export function readProcessUsage(pid: number): ProcessUsage {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  const afterName = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const field = (index: number) => Number(afterName[index - 2]);
  const ticks = field(userTicksField) + field(systemTicksField);
  return {
    processorMicroseconds: ticks * 1_000_000 / ticksPerSecond,
    residentBytes: field(residentField) * pageBytes,
  };
}
