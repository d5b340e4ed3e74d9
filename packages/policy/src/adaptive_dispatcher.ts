import type { Moment } from "@lavenderferry/runtime";
import { Random } from "@lavenderferry/runtime";
import type { AdaptiveOptions } from "./adaptive_options.ts";
import { allEnabled } from "./adaptive_options.ts";
import type { WaitingDemand } from "./backlog.ts";
import { Backlog } from "./backlog.ts";
import { priorityOf } from "./class_targets.ts";
import type {
  CacheChange,
  Demand,
  Dispatcher,
  DispatchOutcome,
  EngineDescription,
  Figures,
  LengthSketch,
  LoadReport,
  PeerShare,
  Placement,
  PlacementReason,
  ReleasedDemand,
  SentGeneration,
  TransferOptions,
} from "./dispatcher.ts";
import { DrainRate } from "./drain_rate.ts";
import type { Engine } from "./engine.ts";
import { EnginePool } from "./engine_pool.ts";
import type { EngineView, Flight } from "./engine_view.ts";
import { sampleEngines, selectCandidates } from "./engine_choice.ts";
import type { Estimate } from "./estimator.ts";
import {
  estimateStartDeadline,
  Estimator,
  prefillMsPerToken,
} from "./estimator.ts";
import { OutputLengths } from "./output_lengths.ts";
import { tokensPerBlock } from "./prefix_digests.ts";
import type { Refusal } from "./refusal.ts";
import { boundRetryAfterMs, minRetryAfterMs, refuse } from "./refusal.ts";
import { RequestLimits } from "./request_limits.ts";
import { RiskBound } from "./risk_bound.ts";
import { RetryBudget } from "./retry_budget.ts";
import { WorkspaceShares } from "./workspace_shares.ts";

/** Share of the first queued demand's cost below which others overtake it. */
const maxOvertakingCostRatio = 0.25;
/** Factor on estimated waits, as the estimate is too high in bursts. */
const waitEstimateFactor = 0.8;
/** Queued demands that one release considers. */
const maxReleaseCandidates = 16;
const maxBacklogRequests = 4_096;
/** Penalty on the sort key of a workspace that has all recent use. */
const sharePenaltyMs = 2_000;
/** Expected stall at an overflow probability of 1. */
const stallMsPerRisk = 2_000;
/** Request ids remembered to tell retries from first attempts. */
const maxRecentRequests = 4_096;
/**
 * Engines with room among which a transfer takes the one with the most free
 * memory. Comparing all of them would make every process choose the same one.
 */
const transferFinalists = 2;
/** Share of the target that the expected time between tokens may reach. */
const maxStepTimeShare = 0.9;

type Dispatch = Extract<Placement, { kind: "dispatch" }>;

interface Candidate {
  readonly engine: Engine;
  readonly risk: number;
  readonly cachedBlocks: number;
  /** Expected duration with penalties in milliseconds; lower is better. */
  readonly score: number;
  /** Fraction of the memory in use, including the demand's prompt. */
  readonly memoryFraction: number;
}

/**
 * Places generations of unknown length so that every class meets its targets.
 * Demands that would put an engine's memory at risk are queued, ordered by
 * their latest start.
 */
export class AdaptiveDispatcher implements Dispatcher {
  readonly #options: AdaptiveOptions;
  readonly #limits: RequestLimits;
  readonly #random: Random;
  readonly #engines: EnginePool;
  readonly #lengths = new OutputLengths();
  readonly #estimator: Estimator;
  readonly #backlog = new Backlog();
  readonly #workspaceShares = new WorkspaceShares();
  readonly #drainRate = new DrainRate();
  readonly #riskBound = new RiskBound();
  readonly #retryBudget = new RetryBudget();
  readonly #engineByGeneration = new Map<string, Engine>();
  readonly #recentRequests = new Set<string>();
  /** Engines of released demands not yet sent, by request id. */
  readonly #reservations = new Map<string, Engine>();

  constructor(
    seed: number,
    options: Partial<AdaptiveOptions> = {},
    limits = new RequestLimits(""),
  ) {
    this.#limits = limits;
    this.#options = { ...allEnabled, ...options };
    this.#random = new Random(seed);
    this.#estimator = new Estimator(
      this.#options.lengths ? this.#lengths : null,
    );
    this.#engines = new EnginePool(this.#options.lagCorrection);
  }

  get waiting(): number {
    return this.#backlog.size;
  }

  addEngine(description: EngineDescription): void {
    this.#engines.add(description);
  }

  removeEngine(id: string): void {
    const engine = this.#engines.get(id);
    if (engine !== undefined) {
      this.#engines.disable(engine);
    }
  }

  loadReported(id: string, report: LoadReport, at: Moment): void {
    const engine = this.#engines.get(id);
    if (engine === undefined) {
      return;
    }
    const { report: previous } = engine.view;
    if (previous !== null) {
      this.#riskBound.observe(
        report.preemptions - previous.preemptions,
        report.finished - previous.finished,
      );
    }
    engine.view.applyReport(report, at);
    this.#engines.invalidateIfChanged(previous, report);
    if (engine.view.flights.size === 0) {
      engine.circuit.recordSuccess(at.monotonic);
    }
  }

  loadReportFailed(id: string, at: Moment): void {
    this.#engines.get(id)?.circuit.recordFailure("load_report", at.monotonic);
  }

  cacheChanged(id: string, change: CacheChange): void {
    this.#engines.get(id)?.prefixes.applyChange(change);
  }

  peerChanged(peer: string, shares: readonly PeerShare[], at: Moment): void {
    const shareByEngine = new Map(shares.map((share) => [share.engine, share]));
    for (const { id, view } of this.#engines.values()) {
      const share = shareByEngine.get(id);
      if (share === undefined) {
        view.removePeerShare(peer);
      } else {
        view.setPeerShare(peer, share, at);
      }
    }
  }

  learnLengths(peer: string, sketches: readonly LengthSketch[]): void {
    this.#lengths.setPeerSketches(peer, sketches);
  }

  takeChangedLengths(): readonly LengthSketch[] {
    return this.#lengths.takeChangedSketches();
  }

  shares(): readonly PeerShare[] {
    return [...this.#engines.values()].map(({ id, view }) => ({
      engine: id,
      running: view.activeFlightCount,
      tokens: view.ownTokens,
    }));
  }

  place(demand: Demand, at: Moment): Placement {
    const refusal = this.#refuseUnservable(demand) ??
      this.#refuseRetryOverBudget(demand);
    if (refusal !== null) {
      return refusal;
    }
    const estimate = this.#estimator.estimate(demand);
    const mustQueue = this.#options.slack &&
      this.#mustQueueBehindFirst(demand, estimate, at.monotonic);
    const dispatch = mustQueue ? null : this.#choose(demand, estimate, at);
    if (dispatch !== null) {
      this.#limits.recordStart(dispatch.engine, at);
      this.#recordStart(demand, estimate.cost, at);
      return dispatch;
    }
    return this.#refuseOverLimits(demand, estimate, at) ??
      this.#enqueue(demand, estimate, at);
  }

  withdraw(requestId: string): void {
    this.#backlog.removeByRequestId(requestId);
  }

  release(at: Moment): readonly ReleasedDemand[] {
    const releases: ReleasedDemand[] = [];
    this.#clearReservations(at);
    if (this.#options.refusals) {
      releases.push(...this.#refuseUnmeetable(at));
    }
    for (const waiting of this.#backlog.head(maxReleaseCandidates)) {
      const { demand, cost } = waiting;
      const refusal = this.#refuseUnservable(demand);
      const placement = refusal ??
        this.#choose(demand, this.#estimator.estimate(demand), at);
      if (placement === null) {
        continue;
      }
      this.#backlog.removeByRequestId(demand.requestId);
      releases.push({ demand, placement });
      if (placement.kind === "dispatch") {
        this.#limits.recordStart(placement.engine, at);
        this.#recordStart(demand, cost, at);
        this.#reserve(demand, placement.engine, at);
      }
    }
    if (releases.length === 0) {
      this.#drainRate.recordStart(0, at.monotonic, this.#backlog.size > 0);
    }
    return releases;
  }

  chooseTransferTarget(
    demand: Demand,
    options: TransferOptions,
  ): string | null {
    const {
      at,
      preferredDataCentre,
      maxMemoryFraction = 1,
      maxCandidates,
    } = options;
    const estimate = this.#estimator.estimate(demand);
    const eligible = this.#eligibleEngines(demand);
    const warm = eligible.filter(({ id }) => !this.#limits.isCold(id));
    const cold = eligible.filter(({ id }) => this.#limits.isCold(id));
    const preferred = preferredDataCentre === undefined
      ? []
      : warm.filter(({ dataCentre }) => dataCentre === preferredDataCentre);
    for (const engines of [preferred, warm, cold]) {
      // The random order makes other processes choose other engines.
      const finalists = sampleEngines(engines, this.#random, maxCandidates)
        .map((engine) => this.#evaluate(engine, demand, { estimate, at }))
        .filter((candidate) => candidate !== null)
        .filter(({ memoryFraction }) => memoryFraction <= maxMemoryFraction)
        .slice(0, transferFinalists)
        .sort((a, b) => a.memoryFraction - b.memoryFraction);
      const best = finalists[0];
      if (best !== undefined) {
        const { id } = best.engine;
        // A transfer leads to a request, and several are chosen at once.
        this.#limits.cold?.recordStart(id, at);
        return id;
      }
    }
    return null;
  }

  sent(sent: SentGeneration, at: Moment): void {
    const {
      generationId,
      engine: id,
      demand,
      holdsMemoryOnly = false,
    } = sent;
    const engine = this.#engines.get(id);
    if (engine === undefined) {
      return;
    }
    this.#clearReservations(at, demand.requestId);
    const flight = { ...this.#flightOf(demand, at), holdsMemoryOnly };
    engine.view.addFlight(generationId, flight, at);
    engine.prefixes.addExpected(demand.prefix);
    this.#engineByGeneration.set(generationId, engine);
    this.#recordSentRequest(demand.requestId);
  }

  progressed(generationId: string, tokens: number, at: Moment): void {
    const engine = this.#engineByGeneration.get(generationId);
    engine?.view.updateFlight(generationId, tokens, at);
  }

  ended(generationId: string, outcome: DispatchOutcome, at: Moment): void {
    const engine = this.#engineByGeneration.get(generationId);
    this.#engineByGeneration.delete(generationId);
    const flight = engine?.view.removeFlight(generationId, at);
    if (engine === undefined || flight === undefined) {
      return;
    }
    if (outcome === "finished") {
      this.#lengths.learn(flight.demand, flight.producedTokens);
      engine.circuit.recordSuccess(at.monotonic);
    } else if (outcome !== "cancelled") {
      engine.circuit.recordFailure(outcome, at.monotonic);
    }
    this.#engines.removeIfIdle(engine);
  }

  /** Returns the failure counts by engine and reason. */
  failuresByEngine(): ReadonlyMap<string, ReadonlyMap<string, number>> {
    return new Map(
      [...this.#engines.values()].map((
        { id, circuit },
      ) => [id, circuit.failuresByReason]),
    );
  }

  #refuseUnservable(demand: Demand): Refusal | null {
    const retryAfterMs = minRetryAfterMs;
    const { engines, memoryTokens } = this.#engines.enginesFor(demand.model);
    if (engines.length === 0) {
      return this.#engines.acceptsWork
        ? refuse("unknown_model", "no_model", { retryAfterMs })
        : refuse("no_upstream", "no_engine", { retryAfterMs });
    }
    const { promptTokens } = demand;
    if (this.#eligibleEngines(demand).length === 0) {
      // All engines that serve the model have already refused this demand.
      return this.#refuseOverloaded("engines_full", this.#backlog.totalCost);
    }
    return promptTokens < memoryTokens
      ? null
      : refuse("prompt_too_long", "engines_full", {
        retryAfterMs,
        promptTokens,
      });
  }

  #refuseRetryOverBudget(demand: Demand): Refusal | null {
    if (!this.#recentRequests.has(demand.requestId)) {
      this.#retryBudget.deposit();
      return null;
    }
    if (!this.#options.circuits || this.#retryBudget.tryWithdraw()) {
      return null;
    }
    return this.#refuseOverloaded("retry_budget", this.#backlog.totalCost);
  }

  /**
   * Refuses a demand if all engines limit requests and none of them takes one
   * before the demand's latest start.
   */
  #refuseOverLimits(
    demand: Demand,
    estimate: Estimate,
    at: Moment,
  ): Refusal | null {
    const now = at.monotonic;
    const engines = this.#eligibleEngines(demand).map(({ id }) => id);
    const nextStartAt = this.#limits.earliestStartAt(engines);
    const deadline = this.#startDeadlineOf(demand, estimate, now);
    if (nextStartAt <= Math.max(now, deadline)) {
      return null;
    }
    // Other processes may hold the shares.
    const waitMs = nextStartAt === Infinity ? 0 : nextStartAt - now;
    const retryAfterMs = boundRetryAfterMs(waitMs);
    return refuse("overloaded", "upstream_limit", { retryAfterMs });
  }

  /** Whether the first queued demand is more urgent and of comparable cost. */
  #mustQueueBehindFirst(
    demand: Demand,
    estimate: Estimate,
    now: number,
  ): boolean {
    const [first] = this.#backlog.head(1);
    return first !== undefined &&
      first.deadline <= this.#startDeadlineOf(demand, estimate, now) &&
      estimate.cost > maxOvertakingCostRatio * first.cost;
  }

  #startDeadlineOf(demand: Demand, estimate: Estimate, now: number): number {
    return estimateStartDeadline(
      demand,
      estimate,
      this.#engines.meanStepMs(now),
    );
  }

  #choose(demand: Demand, estimate: Estimate, at: Moment): Dispatch | null {
    const prefix = this.#options.affinity ? demand.prefix[0] : undefined;
    const engines = this.#eligibleEngines(demand).filter(({ id }) =>
      this.#limits.nextStartAt(id) <= at.monotonic
    );
    const candidates = selectCandidates(engines, this.#random, prefix)
      .map((engine) => this.#evaluate(engine, demand, { estimate, at }))
      .filter((candidate) => candidate !== null);
    const best = candidates.sort((a, b) => a.score - b.score)[0];
    if (best === undefined) {
      return null;
    }
    const { engine, risk, cachedBlocks } = best;
    return {
      kind: "dispatch",
      engine: engine.id,
      priority: this.#options.priorities ? priorityOf(demand.targets) : 0,
      reason: cachedBlocks > 0 ? "cached_prefix" : "lowest_risk",
      figures: {
        risk: roundFigure(risk),
        running: engine.view.running,
        cachedBlocks,
        expectedTokens: Math.round(estimate.outputTokens),
        backlog: this.#backlog.size,
      },
    };
  }

  /** Returns the engines that serve a demand's model and may be chosen. */
  #eligibleEngines(
    { model, excludedEngines = [] }: Demand,
  ): readonly Engine[] {
    const { engines } = this.#engines.enginesFor(model);
    return excludedEngines.length === 0
      ? engines
      : engines.filter(({ id }) => !excludedEngines.includes(id));
  }

  #evaluate(
    engine: Engine,
    demand: Demand,
    context: { readonly estimate: Estimate; readonly at: Moment },
  ): Candidate | null {
    const { view, circuit } = engine;
    const { estimate, at } = context;
    const memoryTokens = view.report?.memoryTokens ?? Infinity;
    const allowance = this.#options.circuits
      ? circuit.allowanceAt(at.monotonic)
      : 1;
    const isLimited = this.#limits.nextStartAt(engine.id) > at.monotonic;
    if (allowance === 0 || isLimited) {
      return null;
    }
    const forecast = view.forecast(at);
    const heldTokens = (forecast.mean[0] ?? 0) + demand.promptTokens;
    const memoryFraction = heldTokens / memoryTokens;
    const risk = forecast.overflowRiskWith(
      estimate.footprint,
      memoryTokens * allowance,
    );
    const stepMs = view.stepTime.expectedMs(view.running + 1);
    if (this.#options.admission && view.running > 0) {
      const bound = this.#riskBound.boundFor(demand.targets);
      if (risk > bound || this.#exceedsStepTime(view, demand)) {
        return null;
      }
    }
    const cachedBlocks = this.#options.affinity
      ? engine.prefixes.countHeldBlocks(demand.prefix)
      : 0;
    const savedMs = cachedBlocks * tokensPerBlock * prefillMsPerToken;
    const score = stepMs * estimate.outputTokens + risk * stallMsPerRisk -
      savedMs;
    return { engine, risk, cachedBlocks, score, memoryFraction };
  }

  /**
   * Whether one more generation would raise the time between tokens above the
   * limit although a single generation would stay within it.
   */
  #exceedsStepTime({ stepTime, running }: EngineView, demand: Demand): boolean {
    const limitMs = maxStepTimeShare * demand.targets.betweenTokensMs;
    return stepTime.expectedMs(running + 1) > limitMs &&
      stepTime.expectedMs(1) <= limitMs;
  }

  #enqueue(demand: Demand, estimate: Estimate, at: Moment): Placement {
    const now = at.monotonic;
    const baseOrder = this.#options.slack
      ? this.#startDeadlineOf(demand, estimate, now)
      : demand.arrivedAt;
    const share = this.#workspaceShares.shareOf(demand.workspace, now);
    const penaltyMs = this.#options.fairness ? share * sharePenaltyMs : 0;
    const order = baseOrder + penaltyMs;
    const costAhead = this.#backlog.costAheadOf(order);
    const waitMs = this.#drainRate.waitMsFor(costAhead);
    const deadline = this.#startDeadlineOf(demand, estimate, now);
    const figures = {
      waitMs: Math.round(waitMs),
      slackMs: Math.round(deadline - now),
      backlog: this.#backlog.size,
      share: roundFigure(share),
    };
    const unreachable = this.#options.refusals &&
      now + waitEstimateFactor * waitMs > deadline;
    if (unreachable || this.#backlog.size >= maxBacklogRequests) {
      return this.#refuseUnreachable(demand, { figures, share });
    }
    const { cost } = estimate;
    const waiting = { demand, deadline, cost };
    this.#backlog.enqueue(waiting, { id: demand.requestId, order });
    return { kind: "wait", reason: "memory_at_risk", figures };
  }

  #refuseUnreachable(
    demand: Demand,
    cause: { figures: Figures; share: number },
  ): Refusal {
    const { figures, share } = cause;
    const workspaces = this.#backlog.workspaceCount;
    const overShare = this.#options.fairness && workspaces > 1 &&
      share > 2 / workspaces && this.#backlog.countOf(demand.workspace) > 0;
    const refusal = this.#refuseOverloaded(
      "target_unreachable",
      this.#backlog.totalCost,
    );
    return overShare
      ? {
        ...refusal,
        error: "workspace_limit",
        reason: "workspace_share",
        figures,
      }
      : { ...refusal, figures };
  }

  #refuseOverloaded(reason: PlacementReason, costAhead: number): Refusal {
    const waitMs = this.#drainRate.waitMsFor(costAhead);
    const jitteredMs = this.#random.jitter(waitMs, 0.25);
    const retryAfterMs = boundRetryAfterMs(jitteredMs);
    return refuse("overloaded", reason, { retryAfterMs });
  }

  #unmeetableAt(now: number): readonly WaitingDemand[] {
    return this.#backlog.findUnmeetable(
      now,
      (cost) => waitEstimateFactor * this.#drainRate.waitMsFor(cost),
    );
  }

  #refuseUnmeetable(at: Moment): readonly ReleasedDemand[] {
    return this.#unmeetableAt(at.monotonic).map(({ demand, deadline }) => {
      this.#backlog.removeByRequestId(demand.requestId);
      const placement = this.#refuseOverloaded(
        "target_unreachable",
        this.#backlog.totalCost,
      );
      const lateMs = Math.round(at.monotonic - deadline);
      return { demand, placement: { ...placement, figures: { lateMs } } };
    });
  }

  #recordStart(demand: Demand, cost: number, at: Moment): void {
    this.#workspaceShares.add(demand.workspace, cost, at.monotonic);
    this.#drainRate.recordStart(cost, at.monotonic, this.#backlog.size > 0);
  }

  /** Counts a released demand as in flight until `sent` is called for it. */
  #reserve(demand: Demand, id: string, at: Moment): void {
    const engine = this.#engines.get(id);
    if (engine !== undefined) {
      this.#reservations.set(demand.requestId, engine);
      const flight = this.#flightOf(demand, at);
      engine.view.addFlight(reservationOf(demand.requestId), flight, at);
    }
  }

  /** Removes the reservation of a request, or all that were never used. */
  #clearReservations(at: Moment, requestId?: string): void {
    const ids = requestId === undefined
      ? [...this.#reservations.keys()]
      : [requestId];
    for (const id of ids) {
      this.#reservations.get(id)?.view.removeFlight(reservationOf(id), at);
      this.#reservations.delete(id);
    }
  }

  #flightOf(demand: Demand, at: Moment): Flight {
    const now = at.monotonic;
    const tail = this.#estimator.tailOf(demand);
    return { demand, tail, sentAt: now, producedTokens: 0, progressedAt: now };
  }

  #recordSentRequest(requestId: string): void {
    this.#recentRequests.add(requestId);
    const [oldest] = this.#recentRequests;
    if (this.#recentRequests.size > maxRecentRequests && oldest !== undefined) {
      this.#recentRequests.delete(oldest);
    }
  }
}

function reservationOf(requestId: string): string {
  return `reserved/${requestId}`;
}

function roundFigure(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
