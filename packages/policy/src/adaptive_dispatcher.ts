import type { Moment } from "@lavenderferry/runtime";
import { Random } from "@lavenderferry/runtime";
import type { AdaptiveOptions } from "./adaptive_options.ts";
import { allParts } from "./adaptive_options.ts";
import type { Waiting } from "./backlog.ts";
import { Backlog } from "./backlog.ts";
import { priorityOf } from "./class_targets.ts";
import type {
  CacheChange,
  Demand,
  Dispatcher,
  Ending,
  EngineDescription,
  Figures,
  LengthSketch,
  LoadReport,
  PeerShare,
  Placement,
  PlacementReason,
  Release,
  Sent,
  TransferOptions,
} from "./dispatcher.ts";
import { DrainRate } from "./drain_rate.ts";
import type { Engine } from "./engine.ts";
import { EnginePool } from "./engine_pool.ts";
import type { EngineView, Flight } from "./engine_view.ts";
import { candidatesOf, sampleOf } from "./engine_choice.ts";
import type { Estimate } from "./estimator.ts";
import { deadlineOf, Estimator, prefillMsPerToken } from "./estimator.ts";
import { OutputLengths } from "./output_lengths.ts";
import { tokensPerBlock } from "./prefix_digests.ts";
import { RiskBound } from "./risk_bound.ts";
import { RetryBudget } from "./retry_budget.ts";
import { WorkspaceShares } from "./workspace_shares.ts";

/** Share of the first waiting cost below which a demand may pass it. */
const passingCost = 0.25;
/** Waits are overestimated in bursts; this much slack is still believed. */
const waitDoubt = 0.8;
const minRetryAfterMs = 500;
const maxRetryAfterMs = 30_000;
const lookAhead = 16;
const maxBacklog = 4_096;
const sharePenaltyMs = 2_000;
const stallMsPerRisk = 2_000;
const maxRecentRequests = 4_096;
/**
 * Engines with room of which the emptiest takes work that runs elsewhere. With
 * all of them, every process would choose the same one at once.
 */
const transferChoices = 2;
/** Share of the strictest target that the time between tokens may take. */
const stepTimeShare = 0.9;

type Dispatch = Extract<Placement, { kind: "dispatch" }>;
type Refusal = Extract<Placement, { kind: "refuse" }>;

interface Candidate {
  readonly engine: Engine;
  readonly risk: number;
  readonly cachedBlocks: number;
  readonly score: number;
  /** Share of the memory that is taken now. */
  readonly fill: number;
}

/**
 * Places generations of unknown length so that every class meets its targets.
 * Work that would put an engine's memory at risk waits here, ordered by slack.
 */
export class AdaptiveDispatcher implements Dispatcher {
  readonly #options: AdaptiveOptions;
  readonly #random: Random;
  readonly #engines: EnginePool;
  readonly #lengths = new OutputLengths();
  readonly #estimator: Estimator;
  readonly #backlog = new Backlog();
  readonly #shares = new WorkspaceShares();
  readonly #drain = new DrainRate();
  readonly #bound = new RiskBound();
  readonly #retries = new RetryBudget();
  readonly #homes = new Map<string, Engine>();
  readonly #sentRequests = new Set<string>();
  /** Engines of released demands that the entry has not sent yet. */
  readonly #reserved = new Map<string, Engine>();

  constructor(seed: number, options: Partial<AdaptiveOptions> = {}) {
    this.#options = { ...allParts, ...options };
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
      this.#engines.close(engine);
    }
  }

  report(id: string, report: LoadReport, at: Moment): void {
    const engine = this.#engines.get(id);
    if (engine === undefined) {
      return;
    }
    const { report: former } = engine.view;
    if (former !== null) {
      this.#bound.observe(
        report.preemptions - former.preemptions,
        report.finished - former.finished,
      );
    }
    engine.view.take(report, at);
    this.#engines.reported(former, report);
    if (engine.view.flights.size === 0) {
      engine.circuit.succeeded(at.monotonic);
    }
  }

  reportFailed(id: string, at: Moment): void {
    this.#engines.get(id)?.circuit.failed("load_report", at.monotonic);
  }

  cacheChanged(id: string, change: CacheChange): void {
    this.#engines.get(id)?.prefixes.take(change);
  }

  peerChanged(peer: string, shares: readonly PeerShare[], at: Moment): void {
    const told = new Map(shares.map((share) => [share.engine, share]));
    for (const { id, view } of this.#engines.values()) {
      const share = told.get(id);
      if (share === undefined) {
        view.dropPeer(peer);
      } else {
        view.takePeer(peer, share, at);
      }
    }
  }

  learnLengths(peer: string, sketches: readonly LengthSketch[]): void {
    this.#lengths.learnPeer(peer, sketches);
  }

  changedLengths(): readonly LengthSketch[] {
    return this.#lengths.takeChanged();
  }

  shares(): readonly PeerShare[] {
    return [...this.#engines.values()].map(({ id, view }) => ({
      engine: id,
      running: view.active,
      tokens: view.ownTokens,
    }));
  }

  place(demand: Demand, at: Moment): Placement {
    const refusal = this.#impossible(demand) ?? this.#overRetried(demand);
    if (refusal !== null) {
      return refusal;
    }
    const estimate = this.#estimator.estimate(demand);
    const mustQueue = this.#options.slack &&
      this.#urgentWait(demand, estimate, at.monotonic);
    const placed = mustQueue ? null : this.#choose(demand, estimate, at);
    if (placed !== null) {
      this.#noteStart(demand, estimate.cost, at);
      return placed;
    }
    return this.#enqueue(demand, estimate, at);
  }

  withdraw(requestId: string): void {
    this.#backlog.take(requestId);
  }

  release(at: Moment): readonly Release[] {
    const releases: Release[] = [];
    this.#unreserve(at);
    if (this.#options.refusals) {
      releases.push(...this.#refuseLate(at));
    }
    for (const waiting of this.#backlog.head(lookAhead)) {
      const { demand, cost } = waiting;
      const impossible = this.#impossible(demand);
      const placement = impossible ??
        this.#choose(demand, this.#estimator.estimate(demand), at);
      if (placement === null) {
        continue;
      }
      this.#backlog.take(demand.requestId);
      releases.push({ demand, placement });
      if (placement.kind === "dispatch") {
        this.#noteStart(demand, cost, at);
        this.#reserve(demand, placement.engine, at);
      }
    }
    if (releases.length === 0) {
      this.#drain.started(0, at.monotonic, this.#backlog.size > 0);
    }
    return releases;
  }

  transfer(demand: Demand, options: TransferOptions): string | null {
    const { at, near, largestFill = 1, candidates: count } = options;
    const estimate = this.#estimator.estimate(demand);
    const open = this.#openTo(demand);
    const nearby = near === undefined
      ? []
      : open.filter(({ dataCentre }) => dataCentre === near);
    for (const engines of [nearby, open]) {
      // The sample is in random order: others that choose now take others.
      const able = sampleOf(engines, this.#random, count)
        .map((engine) => this.#weigh(engine, demand, { estimate, at }))
        .filter((each) => each !== null)
        .filter(({ fill }) => fill <= largestFill)
        .slice(0, transferChoices)
        .sort((a, b) => a.fill - b.fill);
      const best = able[0];
      if (best !== undefined) {
        return best.engine.id;
      }
    }
    return null;
  }

  sent(sent: Sent, at: Moment): void {
    const { generationId, engine: id, demand, passive = false } = sent;
    const engine = this.#engines.get(id);
    if (engine === undefined) {
      return;
    }
    this.#unreserve(at, demand.requestId);
    const flight = { ...this.#flightOf(demand, at), passive };
    engine.view.start(generationId, flight, at);
    engine.prefixes.expect(demand.prefix);
    this.#homes.set(generationId, engine);
    this.#rememberSent(demand.requestId);
  }

  progressed(generationId: string, tokens: number, at: Moment): void {
    const engine = this.#homes.get(generationId);
    engine?.view.progress(generationId, tokens, at);
  }

  ended(generationId: string, ending: Ending, at: Moment): void {
    const engine = this.#homes.get(generationId);
    this.#homes.delete(generationId);
    const flight = engine?.view.end(generationId, at);
    if (engine === undefined || flight === undefined) {
      return;
    }
    if (ending === "finished") {
      this.#lengths.learn(flight.demand, flight.tokensOut);
      engine.circuit.succeeded(at.monotonic);
    } else if (ending !== "cancelled") {
      engine.circuit.failed(ending, at.monotonic);
    }
    this.#engines.forgetIdle(engine);
  }

  /** Counts of failures by engine and reason. */
  failures(): ReadonlyMap<string, ReadonlyMap<string, number>> {
    return new Map(
      [...this.#engines.values()].map((
        { id, circuit },
      ) => [id, circuit.reasons]),
    );
  }

  #impossible(demand: Demand): Refusal | null {
    const retryAfterMs = minRetryAfterMs;
    const { engines, memoryTokens } = this.#engines.serving(demand.model);
    if (engines.length === 0) {
      return this.#engines.open
        ? refuse("unknown_model", "no_model", { retryAfterMs })
        : refuse("no_upstream", "no_engine", { retryAfterMs });
    }
    const { promptTokens } = demand;
    if (this.#openTo(demand).length === 0) {
      // All that serve the model have just refused this demand.
      return this.#overloaded("engines_full", this.#backlog.cost);
    }
    return promptTokens < memoryTokens
      ? null
      : refuse("prompt_too_long", "engines_full", {
        retryAfterMs,
        promptTokens,
      });
  }

  #overRetried(demand: Demand): Refusal | null {
    if (!this.#sentRequests.has(demand.requestId)) {
      this.#retries.earn();
      return null;
    }
    if (!this.#options.circuits || this.#retries.spend()) {
      return null;
    }
    return this.#overloaded("retry_budget", this.#backlog.cost);
  }

  /** Whether something comparable that waits has an earlier deadline. */
  #urgentWait(demand: Demand, estimate: Estimate, now: number): boolean {
    const [first] = this.#backlog.head(1);
    return first !== undefined &&
      first.deadline <= this.#deadlineOf(demand, estimate, now) &&
      estimate.cost > passingCost * first.cost;
  }

  #deadlineOf(demand: Demand, estimate: Estimate, now: number): number {
    return deadlineOf(demand, estimate, this.#engines.stepMs(now));
  }

  #choose(demand: Demand, estimate: Estimate, at: Moment): Dispatch | null {
    const prefix = this.#options.affinity ? demand.prefix[0] : undefined;
    const candidates = candidatesOf(this.#openTo(demand), this.#random, prefix)
      .map((engine) => this.#weigh(engine, demand, { estimate, at }))
      .filter((each) => each !== null);
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
        risk: round(risk),
        running: engine.view.running,
        cachedBlocks,
        expectedTokens: Math.round(estimate.outputTokens),
        backlog: this.#backlog.size,
      },
    };
  }

  /** Engines that serve a demand's model and have not refused it. */
  #openTo({ model, avoid = [] }: Demand): readonly Engine[] {
    const { engines } = this.#engines.serving(model);
    return avoid.length === 0
      ? engines
      : engines.filter(({ id }) => !avoid.includes(id));
  }

  #weigh(
    engine: Engine,
    demand: Demand,
    context: { readonly estimate: Estimate; readonly at: Moment },
  ): Candidate | null {
    const { view, circuit } = engine;
    const { estimate, at } = context;
    const memoryTokens = view.report?.memoryTokens ?? Infinity;
    const allowance = this.#options.circuits
      ? circuit.allowance(at.monotonic)
      : 1;
    if (allowance === 0) {
      return null;
    }
    const forecast = view.forecast(at);
    const held = (forecast.mean[0] ?? 0) + demand.promptTokens;
    const fill = held / memoryTokens;
    const risk = forecast.riskWith(
      estimate.footprint,
      memoryTokens * allowance,
    );
    const stepMs = view.stepTime.expected(view.running + 1);
    if (this.#options.admission && view.running > 0) {
      const bound = this.#bound.boundFor(demand.targets);
      if (risk > bound || this.#tooCrowded(view, demand)) {
        return null;
      }
    }
    const cachedBlocks = this.#options.affinity
      ? engine.prefixes.match(demand.prefix)
      : 0;
    const savedMs = cachedBlocks * tokensPerBlock * prefillMsPerToken;
    const score = stepMs * estimate.outputTokens + risk * stallMsPerRisk -
      savedMs;
    return { engine, risk, cachedBlocks, score, fill };
  }

  /** Whether one more generation makes the engine's tokens come too late. */
  #tooCrowded({ stepTime, running }: EngineView, demand: Demand): boolean {
    const limit = stepTimeShare * demand.targets.betweenTokensMs;
    return stepTime.expected(running + 1) > limit &&
      stepTime.expected(1) <= limit;
  }

  #enqueue(demand: Demand, estimate: Estimate, at: Moment): Placement {
    const now = at.monotonic;
    const deadline = this.#options.slack
      ? this.#deadlineOf(demand, estimate, now)
      : demand.arrivedAt;
    const share = this.#shares.shareOf(demand.workspace, now);
    const penalty = this.#options.fairness ? share * sharePenaltyMs : 0;
    const order = deadline + penalty;
    const ahead = this.#backlog.costBefore(order);
    const waitMs = this.#drain.wait(ahead);
    const latest = this.#deadlineOf(demand, estimate, now);
    const figures = {
      waitMs: Math.round(waitMs),
      slackMs: Math.round(latest - now),
      backlog: this.#backlog.size,
      share: round(share),
    };
    const unreachable = this.#options.refusals &&
      now + waitDoubt * waitMs > latest;
    if (unreachable || this.#backlog.size >= maxBacklog) {
      return this.#refusalOf(demand, { figures, share });
    }
    const { cost } = estimate;
    const waiting = { demand, deadline: latest, cost };
    this.#backlog.enqueue(waiting, { id: demand.requestId, order });
    return { kind: "wait", reason: "memory_at_risk", figures };
  }

  #refusalOf(
    demand: Demand,
    cause: { figures: Figures; share: number },
  ): Refusal {
    const { figures, share } = cause;
    const workspaces = this.#backlog.workspaces;
    const overShare = this.#options.fairness && workspaces > 1 &&
      share > 2 / workspaces && this.#backlog.countOf(demand.workspace) > 0;
    const refusal = this.#overloaded(
      "target_unreachable",
      this.#backlog.cost,
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

  #overloaded(reason: PlacementReason, ahead: number): Refusal {
    const waitMs = this.#drain.wait(ahead);
    const jittered = this.#random.jitter(waitMs, 0.25);
    const retryAfterMs = Math.round(
      Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, jittered)),
    );
    return refuse("overloaded", reason, { retryAfterMs });
  }

  #lateAt(now: number): readonly Waiting[] {
    return this.#backlog.late(
      now,
      (cost) => waitDoubt * this.#drain.wait(cost),
    );
  }

  #refuseLate(at: Moment): readonly Release[] {
    return this.#lateAt(at.monotonic).map(({ demand, deadline }) => {
      this.#backlog.take(demand.requestId);
      const placement = this.#overloaded(
        "target_unreachable",
        this.#backlog.cost,
      );
      const lateMs = Math.round(at.monotonic - deadline);
      return { demand, placement: { ...placement, figures: { lateMs } } };
    });
  }

  #noteStart(demand: Demand, cost: number, at: Moment): void {
    this.#shares.add(demand.workspace, cost, at.monotonic);
    this.#drain.started(cost, at.monotonic, this.#backlog.size > 0);
  }

  /** Counts a released demand until the entry says that it was sent. */
  #reserve(demand: Demand, id: string, at: Moment): void {
    const engine = this.#engines.get(id);
    if (engine !== undefined) {
      this.#reserved.set(demand.requestId, engine);
      const flight = this.#flightOf(demand, at);
      engine.view.start(reservationOf(demand.requestId), flight, at);
    }
  }

  /** Drops one reservation, or all that led to nothing. */
  #unreserve(at: Moment, requestId?: string): void {
    const ids = requestId === undefined
      ? [...this.#reserved.keys()]
      : [requestId];
    for (const id of ids) {
      this.#reserved.get(id)?.view.end(reservationOf(id), at);
      this.#reserved.delete(id);
    }
  }

  #flightOf(demand: Demand, at: Moment): Flight {
    const now = at.monotonic;
    const tail = this.#estimator.tailOf(demand);
    return { demand, tail, sentAt: now, tokensOut: 0, progressedAt: now };
  }

  #rememberSent(requestId: string): void {
    this.#sentRequests.add(requestId);
    const [oldest] = this.#sentRequests;
    if (this.#sentRequests.size > maxRecentRequests && oldest !== undefined) {
      this.#sentRequests.delete(oldest);
    }
  }
}

function reservationOf(requestId: string): string {
  return `reserved/${requestId}`;
}

function refuse(
  error: Refusal["error"],
  reason: PlacementReason,
  figures: { readonly retryAfterMs: number } & Figures,
): Refusal {
  const { retryAfterMs, ...rest } = figures;
  return { kind: "refuse", error, reason, retryAfterMs, figures: rest };
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
