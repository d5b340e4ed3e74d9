import type { Moment } from "@lavenderferry/runtime";
import { Random } from "@lavenderferry/runtime";
import { Brittleness } from "./brittleness.ts";
import { Circuit } from "./circuit.ts";
import { RequestLimits } from "./request_limits.ts";
import type {
  CacheChange,
  Demand,
  Dispatcher,
  DispatchOutcome,
  EngineDescription,
  LengthSketch,
  LoadReport,
  PeerShare,
  Placement,
  ReleasedDemand,
  SentGeneration,
  TransferOptions,
} from "./dispatcher.ts";

/** Slots assumed for an upstream that does not declare any. */
const defaultSlots = 8;

/** Assumed run time of a request before any has finished. */
const initialServiceMs = 50;

/** Weight of the latest request in the moving average of the run time. */
const serviceTimeWeight = 0.05;

/** Share of the first-token target that the wait for a slot may take. */
const maxWaitShare = 0.8;

/** Score penalty of a remote data centre, as a share of the slots. */
const remotePenalty = 0.15;

/** Score penalty of a recovering upstream, as a share of the slots. */
const recoveryPenalty = 0.5;

/** Retry delay when no upstream is eligible. */
const noUpstreamRetryMs = 400;

/** Shortest retry delay: about two requests of the initial run time. */
const minRetryAfterMs = 100;

/** Longest retry delay: callers of short requests do not wait longer. */
const maxRetryAfterMs = 5_000;

/** Share by which retry delays vary, so that callers do not retry together. */
const retryAfterJitter = 0.25;

/** Bounds memory; expected waits cause refusals long before it is reached. */
const maxBacklogRequests = 1_024;

interface Upstream {
  readonly id: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly circuit: Circuit;
  readonly runningByPeer: Map<string, number>;
  acceptsWork: boolean;
  running: number;
}

interface Flight {
  readonly upstream: Upstream;
  readonly sentAt: number;
}

interface WaitingDemand {
  readonly demand: Demand;
  /** Latest start in monotonic milliseconds. */
  readonly deadline: number;
}

type Dispatch = Extract<Placement, { kind: "dispatch" }>;

/**
 * Places each short request on the least loaded upstream, counting the load of
 * peers. An upstream runs a fixed number of requests at a time. Requests wait
 * while all slots are taken and are refused if none can become free in time.
 */
export class SlotDispatcher implements Dispatcher {
  readonly #random: Random;
  readonly #dataCentre: string;
  readonly #limits: RequestLimits;
  readonly #brittleness: Brittleness;
  readonly #upstreams = new Map<string, Upstream>();
  readonly #flights = new Map<string, Flight>();
  readonly #backlog: WaitingDemand[] = [];
  #meanServiceMs = initialServiceMs;

  constructor(
    seed: number,
    {
      dataCentre,
      limits = new RequestLimits(""),
      brittleness = new Brittleness(),
    }: {
      readonly dataCentre: string;
      readonly limits?: RequestLimits;
      readonly brittleness?: Brittleness;
    },
  ) {
    this.#random = new Random(seed);
    this.#dataCentre = dataCentre;
    this.#limits = limits;
    this.#brittleness = brittleness;
  }

  get waiting(): number {
    return this.#backlog.length;
  }

  addEngine({ id, dataCentre, slots }: EngineDescription): void {
    const existing = this.#upstreams.get(id);
    if (existing !== undefined) {
      existing.acceptsWork = true;
      return;
    }
    this.#upstreams.set(id, {
      id,
      dataCentre,
      slots: slots ?? defaultSlots,
      circuit: new Circuit(),
      runningByPeer: new Map(),
      acceptsWork: true,
      running: 0,
    });
  }

  removeEngine(id: string): void {
    const upstream = this.#upstreams.get(id);
    if (upstream !== undefined) {
      upstream.acceptsWork = false;
      this.#removeIfIdle(upstream);
    }
  }

  loadReported(_id: string, _report: LoadReport, _at: Moment): void {}

  loadReportFailed(id: string, at: Moment): void {
    this.#upstreams.get(id)?.circuit.recordFailure("load_report", at.monotonic);
  }

  cacheChanged(_id: string, _change: CacheChange): void {}

  peerChanged(peer: string, shares: readonly PeerShare[]): void {
    const runningByEngine = new Map(
      shares.map((share) => [share.engine, share.running]),
    );
    for (const { id, runningByPeer } of this.#upstreams.values()) {
      const running = runningByEngine.get(id);
      if (running === undefined) {
        runningByPeer.delete(peer);
      } else {
        runningByPeer.set(peer, running);
      }
    }
  }

  learnLengths(_peer: string, _sketches: readonly LengthSketch[]): void {}

  takeChangedLengths(): readonly LengthSketch[] {
    return [];
  }

  shares(): readonly PeerShare[] {
    return [...this.#upstreams.values()].map(({ id, running }) => ({
      engine: id,
      running,
      tokens: 0,
    }));
  }

  place(demand: Demand, at: Moment): Placement {
    const dispatch = this.#choose(demand, at);
    if (dispatch !== null) {
      this.#limits.recordStart(dispatch.engine, at);
      return dispatch;
    }
    const eligible = this.#eligibleUpstreams(demand, at);
    if (eligible.length === 0) {
      return {
        kind: "refuse",
        error: "no_upstream",
        reason: "no_engine",
        retryAfterMs: this.#retryAfterMs(noUpstreamRetryMs),
        figures: { upstreams: this.#upstreams.size },
      };
    }
    const { waitMs, isLimited } = this.#estimateWait(eligible, at);
    const allowedMs = maxWaitShare * demand.targets.firstTokenMs;
    const figures = {
      waitMs: Math.round(waitMs),
      backlog: this.#backlog.length,
      slots: eligible.reduce((sum, { slots }) => sum + slots, 0),
    };
    if (waitMs > allowedMs || this.#backlog.length >= maxBacklogRequests) {
      return {
        kind: "refuse",
        error: "overloaded",
        reason: isLimited ? "upstream_limit" : "target_unreachable",
        retryAfterMs: this.#retryAfterMs(
          waitMs === Infinity ? noUpstreamRetryMs : waitMs,
        ),
        figures,
      };
    }
    const deadline = demand.arrivedAt + allowedMs;
    this.#backlog.push({ demand, deadline });
    return { kind: "wait", reason: "slots_full", figures };
  }

  withdraw(requestId: string): void {
    const index = this.#backlog.findIndex(({ demand }) =>
      demand.requestId === requestId
    );
    if (index >= 0) {
      this.#backlog.splice(index, 1);
    }
  }

  release(at: Moment): readonly ReleasedDemand[] {
    const releases: ReleasedDemand[] = [];
    while (this.#backlog.length > 0) {
      const [first] = this.#backlog;
      if (first === undefined) {
        break;
      }
      const { demand, deadline } = first;
      const dispatch = this.#choose(demand, at);
      if (dispatch !== null) {
        releases.push({ demand, placement: dispatch });
      } else if (at.monotonic >= deadline) {
        releases.push({ demand, placement: this.#refuseLate(demand, at) });
      } else {
        break;
      }
      this.#backlog.shift();
      if (dispatch !== null) {
        this.#limits.recordStart(dispatch.engine, at);
        // The caller sends it only afterwards, so count it within this loop.
        this.#adjustRunning(dispatch.engine, 1);
      }
    }
    for (const { placement } of releases) {
      if (placement.kind === "dispatch") {
        this.#adjustRunning(placement.engine, -1);
      }
    }
    return releases;
  }

  chooseTransferTarget(demand: Demand, { at }: TransferOptions): string | null {
    return this.#choose(demand, at)?.engine ?? null;
  }

  sent({ generationId, engine: id }: SentGeneration, at: Moment): void {
    const upstream = this.#upstreams.get(id);
    if (upstream !== undefined) {
      upstream.running += 1;
      this.#flights.set(generationId, { upstream, sentAt: at.monotonic });
    }
  }

  progressed(_generationId: string, _tokens: number, _at: Moment): void {}

  ended(generationId: string, outcome: DispatchOutcome, at: Moment): void {
    const flight = this.#flights.get(generationId);
    if (flight === undefined) {
      return;
    }
    this.#flights.delete(generationId);
    const { upstream, sentAt } = flight;
    upstream.running -= 1;
    if (outcome === "finished") {
      const elapsedMs = at.monotonic - sentAt;
      this.#meanServiceMs += serviceTimeWeight *
        (elapsedMs - this.#meanServiceMs);
      upstream.circuit.recordSuccess(at.monotonic);
    } else if (outcome !== "cancelled") {
      upstream.circuit.recordFailure(outcome, at.monotonic);
    }
    this.#removeIfIdle(upstream);
  }

  #choose(demand: Demand, at: Moment): Dispatch | null {
    let best: Upstream | null = null;
    let bestScore = Infinity;
    for (const upstream of this.#upstreams.values()) {
      const score = this.#isWithinShare(upstream, at)
        ? this.#scoreOf(upstream, demand, at)
        : Infinity;
      if (score < bestScore) {
        best = upstream;
        bestScore = score;
      }
    }
    if (best === null) {
      return null;
    }
    return {
      kind: "dispatch",
      engine: best.id,
      priority: 0,
      reason: "free_slot",
      figures: { running: loadOf(best), slots: best.slots },
    };
  }

  /**
   * Whether a brittle upstream may get one more request of this process: up to
   * its share of the slots, and one more in its turn unless it was rejected.
   * Several processes may take the same free slot.
   */
  #isWithinShare({ id, slots, running }: Upstream, at: Moment): boolean {
    const brittleness = this.#brittleness;
    if (!brittleness.isBrittle(at)) {
      return true;
    }
    const share = this.#limits.shareOfSlots(id, slots);
    if (running !== share || brittleness.keepsToShares(at)) {
      return running < share;
    }
    // With none at all, processes without a share could send nothing. A request
    // beyond a share may be rejected, or one whose slot it takes.
    const turns = Math.max(1, brittleness.rejectionsPerSecond) / 2;
    return this.#limits.isTurn(id, turns, at);
  }

  /** Returns a score; lower is better, infinite means not eligible. */
  #scoreOf(upstream: Upstream, demand: Demand, at: Moment): number {
    const { id, circuit, slots, acceptsWork } = upstream;
    const load = loadOf(upstream);
    if (
      !acceptsWork || load >= slots ||
      demand.excludedEngines?.includes(id) === true
    ) {
      return Infinity;
    }
    const allowance = circuit.allowanceAt(at.monotonic);
    if (allowance === 0 || this.#limits.nextStartAt(id) > at.monotonic) {
      return Infinity;
    }
    const remote = upstream.dataCentre === this.#dataCentre ? 0 : remotePenalty;
    const recovering = allowance < 1 ? recoveryPenalty : 0;
    // Spreads the choices of processes that see the same outdated load.
    const tieBreak = this.#random.fraction() / slots;
    return load / slots + remote + recovering + tieBreak;
  }

  /** Returns the upstreams that may run a demand once they have room. */
  #eligibleUpstreams(
    { excludedEngines = [] }: Demand,
    at: Moment,
  ): readonly Upstream[] {
    return [...this.#upstreams.values()].filter((upstream) =>
      upstream.acceptsWork && !excludedEngines.includes(upstream.id) &&
      upstream.circuit.allowanceAt(at.monotonic) > 0
    );
  }

  /**
   * Estimates the wait of one more demand. If no upstream may get a request
   * now, the first one that may determines it.
   */
  #estimateWait(
    upstreams: readonly Upstream[],
    at: Moment,
  ): { readonly waitMs: number; readonly isLimited: boolean } {
    const rates = upstreams.map(({ id, slots }) =>
      Math.min(slots / this.#meanServiceMs, this.#limits.ratePerMs(id))
    );
    const ratePerMs = rates.reduce((sum, rate) => sum + rate, 0);
    const backlog = this.#backlog.length;
    const ids = upstreams.map(({ id }) => id);
    const limitedMs = this.#limits.earliestStartAt(ids) - at.monotonic;
    if (limitedMs <= 0) {
      return { waitMs: (backlog + 1) / ratePerMs, isLimited: false };
    }
    const waitMs = limitedMs === Infinity
      ? Infinity
      : limitedMs + backlog / ratePerMs;
    return { waitMs, isLimited: true };
  }

  #refuseLate(
    demand: Demand,
    at: Moment,
  ): Exclude<Placement, { kind: "wait" }> {
    const lateMs = Math.round(at.monotonic - demand.arrivedAt);
    return {
      kind: "refuse",
      error: "overloaded",
      reason: "target_unreachable",
      retryAfterMs: this.#retryAfterMs(this.#meanServiceMs),
      figures: { lateMs },
    };
  }

  #retryAfterMs(waitMs: number): number {
    const bounded = Math.min(
      maxRetryAfterMs,
      Math.max(minRetryAfterMs, waitMs),
    );
    return Math.round(this.#random.jitter(bounded, retryAfterJitter));
  }

  #adjustRunning(id: string, change: number): void {
    const upstream = this.#upstreams.get(id);
    if (upstream !== undefined) {
      upstream.running += change;
    }
  }

  #removeIfIdle(upstream: Upstream): void {
    if (!upstream.acceptsWork && upstream.running === 0) {
      this.#upstreams.delete(upstream.id);
    }
  }
}

function loadOf({ running, runningByPeer }: Upstream): number {
  let load = running;
  for (const peerRunning of runningByPeer.values()) {
    load += peerRunning;
  }
  return load;
}
