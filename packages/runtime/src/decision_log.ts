import type { DestinationStream } from "pino";
import pino from "pino";
import type { Decision } from "./decisions.ts";

/** Bytes that may wait for a reader of the log; more is dropped. */
const maxWaitingBytes = 1_048_576;

/** Bytes that are collected for one write. */
const batchBytes = 4_096;

/** Milliseconds after which collected lines are written anyway. */
const flushMs = 250;

/** Lines of one kind and reason in a second; more are counted, not written. */
const linesPerSecond = 50;

const secondMs = 1_000;

interface Volume {
  second: number;
  written: number;
  leftOut: number;
}

/**
 * Creates a log of decisions: one line of JSON each, on standard output. It
 * never waits for its reader, and its volume is bounded by kind and reason;
 * the next line of the same kind says how many were left out.
 */
export function createDecisionLog(
  base: Readonly<Record<string, string>>,
  output: DestinationStream = standardOutput(),
): (decision: Decision) => void {
  const logger = pino({ base, timestamp: false }, output);
  const volumes = new Map<string, Volume>();
  return function logDecision({ kind, subject, reason, figures, at }) {
    const name = `${kind}/${reason}`;
    const second = Math.floor(at / secondMs);
    const volume = volumes.get(name) ?? { second, written: 0, leftOut: 0 };
    volumes.set(name, volume);
    if (volume.second !== second) {
      volume.second = second;
      volume.written = 0;
    }
    if (volume.written >= linesPerSecond) {
      volume.leftOut += 1;
      return;
    }
    volume.written += 1;
    const { leftOut } = volume;
    volume.leftOut = 0;
    const line = { at, kind, subject, reason, figures };
    logger.info(leftOut === 0 ? line : { ...line, leftOut });
  };
}

function standardOutput(): DestinationStream {
  return pino.destination({
    sync: false,
    minLength: batchBytes,
    maxLength: maxWaitingBytes,
    periodicFlush: flushMs,
  });
}
