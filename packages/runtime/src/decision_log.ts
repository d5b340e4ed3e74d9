import type { DestinationStream } from "pino";
import pino from "pino";
import sonicBoom from "sonic-boom";
import type { Decision } from "./decisions.ts";

/** Bytes that are buffered for a slow reader; further lines are dropped. */
const maxBufferedBytes = 1_048_576;

/** Lines are collected up to this size before they are written. */
const minWriteBytes = 4_096;

/** Milliseconds after which collected lines are written at any size. */
const flushIntervalMs = 250;

/** Limit per kind and reason; further lines are counted, not written. */
const maxLinesPerSecond = 50;

/** Kinds of decisions on failed requests; the limit does not apply to them. */
const failureKinds: ReadonlySet<string> = new Set(["drop", "refuse"]);

const secondMs = 1_000;

const standardOutputFd = 1;

/** Milliseconds that an ending process waits for the reader of its log. */
const endTimeoutMs = 500;

/** Lines of one kind and reason in the current second. */
interface LineRate {
  second: number;
  written: number;
  /** Lines over the limit since the last written line. */
  leftOut: number;
}

/** Destination of the lines. */
export interface LogOutput extends DestinationStream {
  /** Registers a listener for each line dropped because the buffer is full. */
  readonly on?: (event: "drop", listener: () => void) => unknown;
  /** Calls back once all buffered lines are written; further ones are dropped. */
  readonly end?: (done: () => void) => void;
}

/** A log of decisions; writing to it never blocks on a slow reader. */
export interface DecisionLog {
  readonly write: (decision: Decision) => void;
  /**
   * Writes the buffered lines; further ones are dropped. Resolves with whether
   * all were written within the time limit.
   */
  readonly end: () => Promise<boolean>;
}

/**
 * Creates a log that writes each decision as a line of JSON, by default to
 * standard output. Writes never block on the reader. Lines per second are
 * limited by kind and reason: `leftOut` of the next line of the same kind and
 * reason counts the omitted ones. Decisions on failed requests are exempt.
 * `unread` of the next line written counts the lines that were dropped because
 * the buffer was full.
 */
export function createDecisionLog(
  base: Readonly<Record<string, string>>,
  output: LogOutput = openStandardOutput(),
): DecisionLog {
  const logger = pino({ base, timestamp: false }, output);
  let unreportedDrops = 0;
  /** Value of `unread` in the line that is being written. */
  let reportedDrops = 0;
  output.on?.("drop", () => {
    unreportedDrops += reportedDrops + 1;
    reportedDrops = 0;
  });
  const rates = new Map<string, LineRate>();
  return { write, end: () => end(output) };

  function write({ kind, subject, reason, figures, at }: Decision): void {
    const key = `${kind}/${reason}`;
    const second = Math.floor(at / secondMs);
    const rate = rates.get(key) ?? { second, written: 0, leftOut: 0 };
    rates.set(key, rate);
    if (rate.second !== second) {
      rate.second = second;
      rate.written = 0;
    }
    if (rate.written >= maxLinesPerSecond && !failureKinds.has(kind)) {
      rate.leftOut += 1;
      return;
    }
    rate.written += 1;
    const { leftOut } = rate;
    rate.leftOut = 0;
    reportedDrops = unreportedDrops;
    unreportedDrops = 0;
    logger.info({
      at,
      kind,
      subject,
      reason,
      figures,
      ...(leftOut === 0 ? {} : { leftOut }),
      ...(reportedDrops === 0 ? {} : { unread: reportedDrops }),
    });
    reportedDrops = 0;
  }
}

function end(output: LogOutput): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(false), endTimeoutMs);
    const done = () => {
      clearTimeout(timer);
      resolve(true);
    };
    if (output.end === undefined) {
      done();
    } else {
      output.end(done);
    }
  });
}

/**
 * Opens standard output without pino's own exit hook, which would block until
 * the reader takes the rest.
 */
function openStandardOutput(): LogOutput {
  const output = new sonicBoom.SonicBoom({
    fd: standardOutputFd,
    sync: false,
    minLength: minWriteBytes,
    maxLength: maxBufferedBytes,
    periodicFlush: flushIntervalMs,
  });
  let failed = false;
  let ended = false;
  output.on("error", ({ message }) => {
    // A reader that closes its end must not end the process.
    if (!failed) {
      failed = true;
      process.stderr.write(
        `lavenderferry: writing the decision log failed: ${message}\n`,
      );
    }
  });
  return {
    write: (line) => failed || ended || output.write(line),
    on: (event, listener) => output.on(event, listener),
    end: (done) => {
      // The callback of `flush` would come with a drain, which leaves up to
      // `minWriteBytes` in the buffer.
      output.once("close", done);
      output.once("error", done);
      if (!ended) {
        ended = true;
        output.end();
      }
    },
  };
}
