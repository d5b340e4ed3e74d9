import { build } from "hdr-histogram-js";
import type { RequestOutcome } from "./measured_request.ts";
import { meetsTargets } from "./measured_request.ts";
import type { Scenario } from "./scenario.ts";
import type { PolicyRun } from "./system_load.ts";

/** Percentiles of one duration, in milliseconds. */
export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Figures of one class, or of `all` classes, under one policy. */
export interface ClassFigures {
  readonly workClass: string;
  readonly requests: number;
  /** Share of the requests that met every target of their class, 0 to 1. */
  readonly metShare: number;
  /** Sum of the stalls of all requests, complete or not. */
  readonly stallTotalMs: number;
  readonly stall: Percentiles;
  readonly firstToken: Percentiles;
  readonly betweenTokens: Percentiles;
  /** Number of requests without a complete answer, by problem kind. */
  readonly refused: Readonly<Record<string, number>>;
  /** Time from sending a request until it failed. */
  readonly refusedAfter: Percentiles;
}

/** Figures of one policy. The members are those of the JSON results. */
export interface PolicyFigures {
  readonly policy: string;
  readonly preemptionsPerThousand: number;
  /** Tokens that were recomputed or discarded, over the whole run. */
  readonly wastedTokens: number;
  /** Requests per second that met their targets, for each arrival phase. */
  readonly goodput: readonly number[];
  /** The figures of all classes together first, then those of each class. */
  readonly classes: readonly ClassFigures[];
}

/** Computes the figures of one run, without the requests of the warm-up. */
export function computeFigures(
  scenario: Scenario,
  run: PolicyRun,
): PolicyFigures {
  const measuredOutcomes = run.outcomes.filter(({ arrival }) =>
    arrival.atMs >= scenario.warmUpMs
  );
  const { preemptions, finished } = run.engines;
  const classNames = Object.keys(scenario.classes);
  return {
    policy: run.policy,
    preemptionsPerThousand: 1_000 * preemptions / Math.max(1, finished),
    wastedTokens: run.wastedTokens,
    goodput: computeGoodput(scenario, run.outcomes),
    classes: [
      computeClassFigures(scenario, "all", measuredOutcomes),
      ...classNames.map((className) =>
        computeClassFigures(
          scenario,
          className,
          measuredOutcomes.filter(({ arrival }) =>
            arrival.workClass === className
          ),
        )
      ),
    ],
  };
}

function computeGoodput(
  scenario: Scenario,
  outcomes: readonly RequestOutcome[],
): readonly number[] {
  let phaseStartMs = 0;
  return scenario.phases.map(({ durationMs }) => {
    const startMs = Math.max(phaseStartMs, scenario.warmUpMs);
    const endMs = phaseStartMs + durationMs;
    phaseStartMs = endMs;
    const metOutcomes = outcomes.filter((outcome) => {
      const { atMs } = outcome.arrival;
      return atMs >= startMs && atMs < endMs &&
        meetsClassTargets(scenario, outcome);
    });
    return 1_000 * metOutcomes.length / Math.max(1, endMs - startMs);
  });
}

function computeClassFigures(
  scenario: Scenario,
  workClass: string,
  outcomes: readonly RequestOutcome[],
): ClassFigures {
  const completeOutcomes = outcomes.filter((outcome) => outcome.complete);
  const metOutcomes = completeOutcomes.filter((outcome) =>
    meetsClassTargets(scenario, outcome)
  );
  const refused: Record<string, number> = {};
  for (const { problemKind } of outcomes) {
    if (problemKind !== null) {
      refused[problemKind] = (refused[problemKind] ?? 0) + 1;
    }
  }
  return {
    workClass,
    requests: outcomes.length,
    metShare: metOutcomes.length / Math.max(1, outcomes.length),
    stallTotalMs: outcomes.reduce((sum, { stallMs }) => sum + stallMs, 0),
    stall: computePercentiles(completeOutcomes.map(({ stallMs }) => stallMs)),
    firstToken: computePercentiles(
      completeOutcomes.map(({ firstTokenMs }) => firstTokenMs ?? 0),
    ),
    betweenTokens: computePercentiles(
      completeOutcomes.flatMap(({ tokenGapsMs }) => tokenGapsMs),
    ),
    refused,
    refusedAfter: computePercentiles(
      outcomes.filter(({ problemKind }) => problemKind !== null)
        .map(({ completionMs }) => completionMs),
    ),
  };
}

function meetsClassTargets(
  scenario: Scenario,
  outcome: RequestOutcome,
): boolean {
  const targets = scenario.classes[outcome.arrival.workClass];
  return targets !== undefined && meetsTargets(outcome, targets);
}

/**
 * Computes percentiles of durations. The histogram counts tenths of a
 * millisecond with three significant digits.
 */
export function computePercentiles(
  milliseconds: readonly number[],
): Percentiles {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const sampleMs of milliseconds) {
    histogram.recordValue(Math.round(sampleMs * 10));
  }
  const valueAt = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / 10;
  return { p50: valueAt(50), p95: valueAt(95), p99: valueAt(99) };
}
