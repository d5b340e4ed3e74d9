import { readFileSync } from "node:fs";

/** Processor time and memory of a process, from its start until now. */
export interface ProcessUsage {
  /** Processor time in user and system mode. */
  readonly processorMicroseconds: number;
  readonly residentBytes: number;
}

const ticksPerSecond = 100;
const pageBytes = 4_096;
/** Zero-based positions of the fields of `/proc/PID/stat`. */
const userTicksField = 13;
const systemTicksField = 14;
const residentPagesField = 23;

/** Reads the usage of a process from `/proc/PID/stat`; see proc(5). */
export function readProcessUsage(pid: number): ProcessUsage {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fieldsAfterName = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const readField = (index: number) => Number(fieldsAfterName[index - 2]);
  const ticks = readField(userTicksField) + readField(systemTicksField);
  return {
    processorMicroseconds: ticks * 1_000_000 / ticksPerSecond,
    residentBytes: readField(residentPagesField) * pageBytes,
  };
}
