import type { DestinationStream } from "pino";
import pino from "pino";
import sonicBoom from "sonic-boom";
import type { Decision } from "./decisions.ts";

/** Bytes that may wait for a reader of the log; more is dropped. */
const maxWaitingBytes = 1_048_576;

/** Bytes that are collected for one write. */
const batchBytes = 4_096;

/** Milliseconds after which collected lines are written anyway. */
const flushMs = 250;

/** Lines of one kind and reason in a second; more are counted, not written. */
const linesPerSecond = 50;

/** Kinds that tell of a request that failed; none is left out. */
const failures: ReadonlySet<string> = new Set(["drop", "refuse"]);

const secondMs = 1_000;

const standardOutputFd = 1;

/** Milliseconds that a process which ends gives the reader of its log. */
const settleMs = 500;

interface Volume {
  second: number;
  written: number;
  leftOut: number;
}

/** Where lines go. */
export interface LogOutput extends DestinationStream {
  /** Tells of each line that found no room. */
  readonly on?: (event: "drop", listener: () => void) => unknown;
  /** Calls back once all lines were taken. */
  readonly flush?: (done: () => void) => void;
}

/** A log of decisions that never waits for its reader. */
export interface DecisionLog {
  readonly write: (decision: Decision) => void;
  /** Resolves with whether the reader took all lines in some milliseconds. */
  readonly settle: () => Promise<boolean>;
}

/**
 * Creates a log of decisions: one line of JSON each, on standard output. It
 * never waits for its reader, and its volume is bounded by kind and reason;
 * the next line of the same kind says how many were left out. Failures are
 * always written. Lines that a slow reader left no room for are counted in the
 * next one that finds room.
 */
export function createDecisionLog(
  base: Readonly<Record<string, string>>,
  output: LogOutput = standardOutput(),
): DecisionLog {
  const logger = pino({ base, timestamp: false }, output);
  let unread = 0;
  /** Count that the line which is being written carries. */
  let carried = 0;
  output.on?.("drop", () => {
    unread += carried + 1;
    carried = 0;
  });
  const volumes = new Map<string, Volume>();
  return { write, settle: () => settle(output) };

  function write({ kind, subject, reason, figures, at }: Decision): void {
    const name = `${kind}/${reason}`;
    const second = Math.floor(at / secondMs);
    const volume = volumes.get(name) ?? { second, written: 0, leftOut: 0 };
    volumes.set(name, volume);
    if (volume.second !== second) {
      volume.second = second;
      volume.written = 0;
    }
    if (volume.written >= linesPerSecond && !failures.has(kind)) {
      volume.leftOut += 1;
      return;
    }
    volume.written += 1;
    const { leftOut } = volume;
    volume.leftOut = 0;
    carried = unread;
    unread = 0;
    logger.info({
      at,
      kind,
      subject,
      reason,
      figures,
      ...(leftOut === 0 ? {} : { leftOut }),
      ...(carried === 0 ? {} : { unread: carried }),
    });
    carried = 0;
  }
}

function settle(output: LogOutput): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(false), settleMs);
    const done = () => {
      clearTimeout(timer);
      resolve(true);
    };
    if (output.flush === undefined) {
      done();
    } else {
      output.flush(done);
    }
  });
}

/** Without the hook of pino's own, which waits for the reader at the exit. */
function standardOutput(): LogOutput {
  const output = new sonicBoom.SonicBoom({
    fd: standardOutputFd,
    sync: false,
    minLength: batchBytes,
    maxLength: maxWaitingBytes,
    periodicFlush: flushMs,
  });
  let broken = false;
  output.on("error", ({ message }) => {
    // A reader that went away must not end the process.
    if (!broken) {
      broken = true;
      process.stderr.write(
        `lavenderferry: the log has no reader: ${message}\n`,
      );
    }
  });
  return {
    write: (line) => broken || output.write(line),
    on: (event, listener) => output.on(event, listener),
    flush: (done) => output.flush(() => done()),
  };
}
