import { build } from "hdr-histogram-js";
import type { Outcome } from "./measured_request.ts";
import { metTargets } from "./measured_request.ts";
import type { Scenario } from "./scenario.ts";
import type { Run } from "./system_load.ts";

/** Percentiles of one measure, in milliseconds. */
export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Figures of one class, or of all classes, under one policy. */
export interface ClassFigures {
  readonly workClass: string;
  readonly requests: number;
  /** Share of all requests that met the targets. */
  readonly metShare: number;
  readonly stallTotalMs: number;
  readonly stall: Percentiles;
  readonly firstToken: Percentiles;
  readonly betweenTokens: Percentiles;
  /** Requests that were not answered, by kind of problem. */
  readonly refused: Readonly<Record<string, number>>;
  /** Time until a refusal. */
  readonly refusedAfter: Percentiles;
}

/** Figures of one policy. */
export interface PolicyFigures {
  readonly policy: string;
  readonly preemptionsPerThousand: number;
  readonly wastedTokens: number;
  /** Requests per second that met their targets, by phase of arrival. */
  readonly goodput: readonly number[];
  readonly classes: readonly ClassFigures[];
}

/** Works out the figures of one run. */
export function figuresOf(scenario: Scenario, run: Run): PolicyFigures {
  const measured = run.outcomes.filter(({ arrival }) =>
    arrival.atMs >= scenario.warmupMs
  );
  const { preemptions, finished } = run.engines;
  const names = Object.keys(scenario.classes);
  return {
    policy: run.policy,
    preemptionsPerThousand: 1_000 * preemptions / Math.max(1, finished),
    wastedTokens: run.wastedTokens,
    goodput: goodputOf(scenario, run.outcomes),
    classes: [
      figuresOfClass(scenario, "all", measured),
      ...names.map((name) =>
        figuresOfClass(
          scenario,
          name,
          measured.filter(({ arrival }) => arrival.workClass === name),
        )
      ),
    ],
  };
}

function goodputOf(
  scenario: Scenario,
  outcomes: readonly Outcome[],
): readonly number[] {
  let start = 0;
  return scenario.phases.map(({ durationMs }) => {
    const from = Math.max(start, scenario.warmupMs);
    const end = start + durationMs;
    start = end;
    const met = outcomes.filter((outcome) => {
      const { atMs } = outcome.arrival;
      return atMs >= from && atMs < end && meets(scenario, outcome);
    });
    return 1_000 * met.length / Math.max(1, end - from);
  });
}

function figuresOfClass(
  scenario: Scenario,
  workClass: string,
  outcomes: readonly Outcome[],
): ClassFigures {
  const whole = outcomes.filter((each) => each.whole);
  const met = whole.filter((each) => meets(scenario, each));
  const refused: Record<string, number> = {};
  for (const { problem } of outcomes) {
    if (problem !== null) {
      refused[problem] = (refused[problem] ?? 0) + 1;
    }
  }
  return {
    workClass,
    requests: outcomes.length,
    metShare: met.length / Math.max(1, outcomes.length),
    stallTotalMs: outcomes.reduce((sum, { stallMs }) => sum + stallMs, 0),
    stall: percentilesOf(whole.map(({ stallMs }) => stallMs)),
    firstToken: percentilesOf(
      whole.map(({ firstTokenMs }) => firstTokenMs ?? 0),
    ),
    betweenTokens: percentilesOf(whole.flatMap(({ gapsMs }) => gapsMs)),
    refused,
    refusedAfter: percentilesOf(
      outcomes.filter(({ problem }) => problem !== null)
        .map(({ completionMs }) => completionMs),
    ),
  };
}

function meets(scenario: Scenario, outcome: Outcome): boolean {
  const targets = scenario.classes[outcome.arrival.workClass];
  return targets !== undefined && metTargets(outcome, targets);
}

/** Returns percentiles; values are kept to a tenth of a millisecond. */
export function percentilesOf(milliseconds: readonly number[]): Percentiles {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const each of milliseconds) {
    histogram.recordValue(Math.round(each * 10));
  }
  const at = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / 10;
  return { p50: at(50), p95: at(95), p99: at(99) };
}
