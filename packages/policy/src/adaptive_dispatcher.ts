import type { Moment } from "@lavenderferry/runtime";
import { Random } from "@lavenderferry/runtime";
import { AdmissionQueue } from "./admission_queue.ts";
import type { AdaptiveOptions } from "./adaptive_options.ts";
import { allEnabled } from "./adaptive_options.ts";
import type { Candidate, EvaluationContext } from "./candidate.ts";
import {
  compareCandidates,
  evaluateEngine,
  figuresOf,
  reportFiguresOf,
} from "./candidate.ts";
import { priorityOf } from "./class_targets.ts";
import type {
  CacheChange,
  Demand,
  Dispatcher,
  DispatchOutcome,
  EngineDescription,
  EngineLoad,
  LengthSketch,
  LoadReport,
  PeerShare,
  Placement,
  ReleasedDemand,
  ReportingDispatcher,
  SentGeneration,
  TransferOptions,
} from "./dispatcher.ts";
import type { Engine } from "./engine.ts";
import { EnginePool } from "./engine_pool.ts";
import type { Flight } from "./engine_view.ts";
import { selectCandidates, selectToAsk } from "./engine_choice.ts";
import type { Estimate } from "./estimator.ts";
import { estimateStartDeadline, Estimator } from "./estimator.ts";
import { prefixCapacity } from "./known_prefixes.ts";
import { OutputLengths } from "./output_lengths.ts";
import { RecentIds } from "./recent_ids.ts";
import { RecentSamples } from "./recent_samples.ts";
import type { Refusal } from "./refusal.ts";
import { minRetryAfterMs, refuse } from "./refusal.ts";
import { refuseOverLimits } from "./refuse_over_limits.ts";
import { RequestLimits } from "./request_limits.ts";
import { Reservations } from "./reservations.ts";
import { RiskBound } from "./risk_bound.ts";
import { RetryBudget } from "./retry_budget.ts";
import { chooseTransferTarget } from "./transfer_target.ts";

/** Queued demands that one release considers. */
const maxReleaseCandidates = 16;
/**
 * Share of an engine's memory up to which a request there may be urgent. Beyond it,
 * the engine would preempt generations and process their prompts again.
 */
const maxUrgentFraction = 0.5;

type Dispatch = Extract<Placement, { kind: "dispatch" }>;

/**
 * Places generations of unknown length so that every class meets its targets.
 * Demands that would put an engine's memory at risk are queued, ordered by
 * their latest start.
 */
export class AdaptiveDispatcher implements Dispatcher, ReportingDispatcher {
  readonly #options: AdaptiveOptions;
  readonly #limits: RequestLimits;
  readonly #random: Random;
  readonly #engines: EnginePool;
  readonly #recentSamples = new RecentSamples();
  readonly #lengths = new OutputLengths();
  readonly #estimator: Estimator;
  readonly #queue: AdmissionQueue;
  readonly #riskBound = new RiskBound();
  readonly #retryBudget = new RetryBudget();
  readonly #engineByGeneration = new Map<string, Engine>();
  /** Tells retries from first attempts. */
  readonly #recentRequests = new RecentIds();
  readonly #reservations = new Reservations();

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
    this.#queue = new AdmissionQueue(
      this.#options,
      this.#random,
      (demand, at) => this.#recentSamples.estimateRoomMs(demand, at),
    );
  }

  get waiting(): number {
    return this.#queue.size;
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
    this.#engines.setPeerShares(peer, shares, at);
  }

  learnLengths(peer: string, sketches: readonly LengthSketch[]): void {
    this.#lengths.setPeerSketches(peer, sketches);
  }

  takeChangedLengths(): readonly LengthSketch[] {
    return this.#lengths.takeChangedSketches();
  }

  shares(): readonly PeerShare[] {
    return this.#engines.shares();
  }

  enginesToAsk(demand: Demand, at: Moment): readonly string[] {
    const prefix = this.#options.affinity ? demand.prefix[0] : undefined;
    const engines = this.#startableEngines(demand, at);
    return selectToAsk(engines, this.#random, { prefix, at });
  }

  enginesToAskForQueue(at: Moment): readonly string[] {
    const [first] = this.#queue.head(1);
    return first === undefined ? [] : this.enginesToAsk({
      ...first.demand,
      prefix: [],
    }, at);
  }

  engineReported(
    id: string,
    load: EngineLoad,
    times: { readonly measuredAt: number; readonly at: Moment },
  ): void {
    const engine = this.#engines.get(id);
    if (engine !== undefined) {
      engine.view.applySample(load, times);
      this.#recentSamples.add(engine);
    }
  }

  place(demand: Demand, at: Moment): Placement {
    return this.placeAmong(demand, null, at);
  }

  placeAmong(
    demand: Demand,
    engines: readonly string[] | null,
    at: Moment,
  ): Placement {
    const refusal = this.#refuseUnservable(demand, at) ??
      this.#refuseRetryOverBudget(demand, at);
    if (refusal !== null) {
      return refusal;
    }
    const estimate = this.#estimator.estimate(demand);
    const { cost } = estimate;
    const mustQueue = this.#options.slack && this.#queue.size > 0 &&
      this.#queue.precedes({
        deadline: this.#startDeadlineOf(demand, estimate, at.monotonic),
        cost,
      });
    const dispatch = mustQueue
      ? null
      : this.#choose(demand, { estimate, engines, at });
    if (dispatch !== null) {
      this.#limits.recordStart(dispatch.engine, at);
      this.#queue.recordStart(demand, cost, at);
      return dispatch;
    }
    const deadline = this.#startDeadlineOf(demand, estimate, at.monotonic);
    const eligible = this.#eligibleEngines(demand);
    return refuseOverLimits(this.#limits, eligible, { deadline, at }) ??
      this.#queue.enqueue({ demand, deadline, cost }, at);
  }

  withdraw(requestId: string): void {
    this.#queue.remove(requestId);
  }

  release(at: Moment): readonly ReleasedDemand[] {
    const releases: ReleasedDemand[] = [];
    this.#reservations.clear(at);
    if (this.#options.refusals) {
      releases.push(...this.#queue.refuseUnmeetable(at));
    }
    for (const waiting of this.#queue.head(maxReleaseCandidates)) {
      const { demand, cost } = waiting;
      const refusal = this.#refuseUnservable(demand, at);
      const placement = refusal ??
        this.#choose(demand, {
          estimate: this.#estimator.estimate(demand),
          engines: null,
          at,
        });
      if (placement === null) {
        continue;
      }
      this.#queue.remove(demand.requestId);
      releases.push({ demand, placement });
      if (placement.kind === "dispatch") {
        this.#limits.recordStart(placement.engine, at);
        this.#queue.recordStart(demand, cost, at);
        this.#reserve(demand, placement.engine, at);
      }
    }
    if (releases.length === 0) {
      this.#queue.recordNoStart(at);
    }
    return releases;
  }

  chooseTransferTarget(
    demand: Demand,
    options: TransferOptions,
  ): string | null {
    const estimate = this.#estimator.estimate(demand);
    const target = chooseTransferTarget(
      this.#eligibleEngines(demand),
      options,
      {
        random: this.#random,
        isCold: (id) => this.#limits.isCold(id),
        evaluate: (engine, acceptsRisk) =>
          evaluateEngine(engine, demand, {
            ...this.#evaluation({ estimate, at: options.at }),
            mayWait: false,
            ...acceptsRisk
              ? { options: { ...this.#options, admission: false } }
              : {},
          }),
      },
    );
    if (target !== null) {
      // A transfer leads to a request, and several are chosen at once.
      this.#limits.cold?.recordStart(target, options.at);
    }
    return target;
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
    this.#reservations.remove(demand.requestId, at);
    const { view } = engine;
    const isAwaited = view.isSampled && !holdsMemoryOnly;
    const tokensAhead = isAwaited ? view.unreadTokens(at) : null;
    const flight = {
      ...this.#flightOf(demand, at),
      holdsMemoryOnly,
      tokensAhead,
    };
    engine.view.addFlight(generationId, flight, at);
    const capacity = prefixCapacity(this.#engines.size);
    engine.prefixes.addExpected(demand.prefix, capacity);
    this.#engineByGeneration.set(generationId, engine);
    this.#recentRequests.add(demand.requestId);
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
      engine.view.pool.learnDuration(
        flight.demand.promptTokens + flight.producedTokens,
        at.monotonic - flight.sentAt,
      );
      engine.circuit.recordSuccess(at.monotonic);
    } else if (outcome !== "cancelled") {
      if (outcome === "refused") {
        engine.view.recordRejection(flight.demand, at);
      }
      engine.circuit.recordFailure(outcome, at.monotonic);
    }
    this.#engines.removeIfIdle(engine);
  }

  /** Returns the failure counts by engine and reason. */
  failuresByEngine(): ReadonlyMap<string, ReadonlyMap<string, number>> {
    return this.#engines.failures();
  }

  #refuseUnservable(demand: Demand, at: Moment): Refusal | null {
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
      return this.#queue.refuseOverloaded(demand, "engines_full", at);
    }
    return promptTokens < memoryTokens
      ? null
      : refuse("prompt_too_long", "engines_full", {
        retryAfterMs,
        promptTokens,
      });
  }

  #refuseRetryOverBudget(demand: Demand, at: Moment): Refusal | null {
    if (!this.#recentRequests.has(demand.requestId)) {
      this.#retryBudget.deposit();
      return null;
    }
    if (!this.#options.circuits || this.#retryBudget.tryWithdraw()) {
      return null;
    }
    return this.#queue.refuseOverloaded(demand, "retry_budget", at);
  }

  #startDeadlineOf(demand: Demand, estimate: Estimate, now: number): number {
    return estimateStartDeadline(
      demand,
      estimate,
      this.#engines.meanStepMs(now),
    );
  }

  /**
   * Chooses an engine among the given ones, or among a few random ones if none is
   * given or none of them takes work any more.
   */
  #choose(
    demand: Demand,
    { estimate, engines: ids, at }: {
      readonly estimate: Estimate;
      readonly engines: readonly string[] | null;
      readonly at: Moment;
    },
  ): Dispatch | null {
    const prefix = this.#options.affinity ? demand.prefix[0] : undefined;
    const isStartable = (engine: Engine) =>
      this.#isStartable(engine, demand, at);
    const given = this.#engines.list(ids ?? []).filter(isStartable);
    const engines = given.length > 0
      ? given
      : this.#recentSamples.select(isStartable, this.#random, at) ??
        selectCandidates(
          this.#startableEngines(demand, at),
          this.#random,
          prefix,
        );
    const candidates = this.#evaluate(engines, demand, { estimate, at })
      .sort((a, b) => compareCandidates(a, b, at));
    const best = candidates[0];
    if (best === undefined) {
      return null;
    }
    return {
      kind: "dispatch",
      engine: best.engine.id,
      priority: this.#options.priorities ? priorityOf(demand.targets) : 0,
      isTight: best.memoryFraction > maxUrgentFraction,
      reason: best.cachedBlocks > 0 ? "cached_prefix" : "lowest_risk",
      figures: {
        ...figuresOf(best, estimate),
        backlog: this.#queue.size,
        ...reportFiguresOf(best, candidates.length, at),
      },
    };
  }

  /** Returns the engines that may be sent a demand now, by their limits. */
  #startableEngines(demand: Demand, at: Moment): readonly Engine[] {
    return this.#eligibleEngines(demand).filter(({ id }) =>
      this.#limits.nextStartAt(id) <= at.monotonic
    );
  }

  #isStartable(
    engine: Engine,
    { model, excludedEngines = [] }: Demand,
    at: Moment,
  ): boolean {
    return engine.serves(model) && !excludedEngines.includes(engine.id) &&
      this.#limits.nextStartAt(engine.id) <= at.monotonic;
  }

  /** Evaluates engines for a demand, and leaves out those it must not get. */
  #evaluate(
    engines: readonly Engine[],
    demand: Demand,
    context: Pick<EvaluationContext, "estimate" | "at">,
  ): Candidate[] {
    return engines
      .map((engine) =>
        evaluateEngine(engine, demand, this.#evaluation(context))
      )
      .filter((candidate) => candidate !== null);
  }

  #evaluation(
    context: Pick<EvaluationContext, "estimate" | "at">,
  ): EvaluationContext {
    return {
      ...context,
      mayWait: true,
      options: this.#options,
      limits: this.#limits,
      riskBound: this.#riskBound,
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

  /** Counts a released demand as in flight until `sent` is called for it. */
  #reserve(demand: Demand, id: string, at: Moment): void {
    const engine = this.#engines.get(id);
    if (engine !== undefined) {
      this.#reservations.add(engine, this.#flightOf(demand, at), at);
    }
  }

  #flightOf(demand: Demand, at: Moment): Flight {
    const now = at.monotonic;
    const tail = this.#estimator.tailOf(demand);
    return { demand, tail, sentAt: now, producedTokens: 0, progressedAt: now };
  }
}
