import type { Moment } from "@lavenderferry/runtime";
import type { AdaptiveOptions } from "./adaptive_options.ts";
import type { Demand, Figures } from "./dispatcher.ts";
import type { Engine } from "./engine.ts";
import type { EngineView } from "./engine_view.ts";
import type { Estimate } from "./estimator.ts";
import { prefillMsPerToken } from "./estimator.ts";
import { tokensPerBlock } from "./prefix_digests.ts";
import type { RequestLimits } from "./request_limits.ts";
import type { RiskBound } from "./risk_bound.ts";

/** Expected stall at an overflow probability of 1. */
const stallMsPerRisk = 2_000;
/** Share of the target that the expected time between tokens may reach. */
const maxStepTimeShare = 0.9;
/**
 * Cost of a full memory, in milliseconds, and the share in use from which memory
 * counts. It is charged by reports only: of two engines without risk the one with
 * more free memory is chosen, so that room is left for what other processes send at
 * the same time. Below that share, processes with the same old reports would all
 * choose the same engine for a difference that nobody notices.
 */
const fullMemoryMs = 1_000;
const minChargedFraction = 0.5;

/** An engine that may take a demand. */
export interface Candidate {
  readonly engine: Engine;
  readonly risk: number;
  readonly cachedBlocks: number;
  /** Expected duration with penalties in milliseconds; lower is better. */
  readonly score: number;
  /** Fraction of the memory in use, including the demand's prompt. */
  readonly memoryFraction: number;
}

/** What candidates are evaluated with. */
export interface EvaluationContext {
  readonly options: AdaptiveOptions;
  readonly limits: RequestLimits;
  readonly riskBound: RiskBound;
  readonly estimate: Estimate;
  /** Whether the demand may wait at the engine until memory becomes free. */
  readonly mayWait: boolean;
  readonly at: Moment;
}

/** Evaluates an engine for a demand; `null`: it must not be sent there now. */
export function evaluateEngine(
  engine: Engine,
  demand: Demand,
  { options, limits, riskBound, estimate, mayWait, at }: EvaluationContext,
): Candidate | null {
  const { view, circuit } = engine;
  const allowance = options.circuits ? circuit.allowanceAt(at.monotonic) : 1;
  const isLimited = limits.nextStartAt(engine.id) > at.monotonic;
  if (allowance === 0 || isLimited) {
    return null;
  }
  const forecast = view.forecast(at);
  const { memoryTokens, isSampled } = view;
  if (options.admission && isSampled && view.running >= engine.slots) {
    return null;
  }
  const heldTokens = (forecast.mean[0] ?? 0) + demand.promptTokens;
  const memoryFraction = heldTokens / memoryTokens;
  const risk = forecast.overflowRiskWith(
    estimate.footprint,
    memoryTokens * allowance,
  );
  // The generations of this process are too few to tell engines apart.
  const stepTime = isSampled ? view.pool.stepTime : view.stepTime;
  const stepMs = stepTime.expectedMs(view.running + 1);
  if (options.admission && view.running > 0) {
    // By the risk of overflow, which takes old samples for uncertain, engines ran out
    // of prompts in bursts.
    const overflows = isSampled && mayWait
      ? memoryFraction > 1
      : risk > riskBound.boundFor(demand.targets);
    if (overflows || exceedsStepTime(view, demand)) {
      return null;
    }
  }
  const cachedBlocks = options.affinity
    ? engine.prefixes.countHeldBlocks(demand.prefix)
    : 0;
  const savedMs = cachedBlocks * tokensPerBlock * prefillMsPerToken;
  const loadMs = isSampled
    ? fullMemoryMs * Math.max(0, memoryFraction - minChargedFraction)
    : 0;
  // Engines process prompts one after another, so those ahead delay the first token.
  const queueMs = isSampled
    ? view.pool.prefillRate.msFor(view.unreadTokens(at))
    : 0;
  const score = stepMs * estimate.outputTokens + risk * stallMsPerRisk +
    queueMs + loadMs - savedMs;
  return { engine, risk, cachedBlocks, score, memoryFraction };
}

/**
 * Whether one more generation would raise the time between tokens above the
 * limit although a single generation would stay within it.
 */
function exceedsStepTime(
  { stepTime, running }: EngineView,
  demand: Demand,
): boolean {
  const limitMs = maxStepTimeShare * demand.targets.betweenTokensMs;
  return stepTime.expectedMs(running + 1) > limitMs &&
    stepTime.expectedMs(1) <= limitMs;
}

/**
 * Orders candidates by score. An engine that did not report is never preferred to
 * one that did, as its load is not known.
 */
export function compareCandidates(
  a: Candidate,
  b: Candidate,
  at: Moment,
): number {
  const recentA = a.engine.view.hasRecentSample(at);
  const recentB = b.engine.view.hasRecentSample(at);
  return recentA === recentB ? a.score - b.score : recentA ? -1 : 1;
}

/** Returns the figures by which a candidate was chosen. */
export function figuresOf(
  { engine, risk, cachedBlocks }: Candidate,
  { outputTokens }: Estimate,
): Figures {
  return {
    risk: roundFigure(risk),
    running: engine.view.running,
    cachedBlocks,
    expectedTokens: Math.round(outputTokens),
  };
}

/** Returns the figures of a choice by reports; none if it was made without. */
export function reportFiguresOf(
  { engine, memoryFraction }: Candidate,
  candidates: number,
  at: Moment,
): Figures {
  const { view } = engine;
  return view.isSampled
    ? {
      memory: roundFigure(memoryFraction),
      unreadTokens: Math.round(view.unreadTokens(at)),
      reportMs: Math.round(view.sampleAgeMs(at)),
      candidates,
    }
    : {};
}

function roundFigure(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
