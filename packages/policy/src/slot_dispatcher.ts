import type { Moment } from "@lavenderferry/runtime";
import { Random } from "@lavenderferry/runtime";
import { Circuit } from "./circuit.ts";
import type {
  CacheChange,
  Demand,
  Dispatcher,
  Ending,
  EngineDescription,
  LengthSketch,
  LoadReport,
  PeerShare,
  Placement,
  Release,
  Sent,
  TransferOptions,
} from "./dispatcher.ts";

/** Slots of an upstream that does not state any. */
const defaultSlots = 8;

/** Milliseconds that a request is taken to run before any was seen to end. */
const initialServiceMs = 50;

/** Weight of the newest request in the mean time that requests run. */
const serviceWeight = 0.05;

/** Share of the target that the wait for a slot may take. */
const waitShare = 0.8;

/** Load, in shares of the slots, that another data centre is worth. */
const remotePenalty = 0.15;

/** Load, in shares of the slots, that an upstream on probation is worth. */
const probationPenalty = 0.5;

/** Milliseconds after which a caller asks again where none is open. */
const noUpstreamRetryMs = 400;

/** Shortest advice in milliseconds: about two requests of the initial time. */
const minRetryAfterMs = 100;

/** Longest advice in milliseconds: callers of short requests wait no longer. */
const maxRetryAfterMs = 5_000;

/** Share by which advice varies, so that callers do not return together. */
const retryAfterJitter = 0.25;

/** Demands that wait at most; bounds memory, as refusals come long before. */
const maxBacklog = 1_024;

interface Upstream {
  readonly id: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly circuit: Circuit;
  readonly peers: Map<string, number>;
  open: boolean;
  running: number;
}

interface Flight {
  readonly upstream: Upstream;
  readonly sentAt: number;
}

interface Waiting {
  readonly demand: Demand;
  /** Monotonic milliseconds at which the wait has to be over. */
  readonly deadline: number;
}

type Dispatch = Extract<Placement, { kind: "dispatch" }>;

/**
 * Places short requests on upstreams that each run a fixed number of them: to
 * the least loaded one, counting the peers' work. Requests wait while all
 * slots are taken and are refused when no slot can be free in time.
 */
export class SlotDispatcher implements Dispatcher {
  readonly #random: Random;
  readonly #dataCentre: string;
  readonly #upstreams = new Map<string, Upstream>();
  readonly #flights = new Map<string, Flight>();
  readonly #backlog: Waiting[] = [];
  #serviceMs = initialServiceMs;

  constructor(seed: number, dataCentre: string) {
    this.#random = new Random(seed);
    this.#dataCentre = dataCentre;
  }

  get waiting(): number {
    return this.#backlog.length;
  }

  addEngine({ id, dataCentre, slots }: EngineDescription): void {
    const known = this.#upstreams.get(id);
    if (known !== undefined) {
      known.open = true;
      return;
    }
    this.#upstreams.set(id, {
      id,
      dataCentre,
      slots: slots ?? defaultSlots,
      circuit: new Circuit(),
      peers: new Map(),
      open: true,
      running: 0,
    });
  }

  removeEngine(id: string): void {
    const upstream = this.#upstreams.get(id);
    if (upstream !== undefined) {
      upstream.open = false;
      this.#forgetIdle(upstream);
    }
  }

  report(_id: string, _report: LoadReport, _at: Moment): void {}

  reportFailed(id: string, at: Moment): void {
    this.#upstreams.get(id)?.circuit.failed("load_report", at.monotonic);
  }

  cacheChanged(_id: string, _change: CacheChange): void {}

  peerChanged(peer: string, shares: readonly PeerShare[]): void {
    const told = new Map(shares.map((share) => [share.engine, share.running]));
    for (const { id, peers } of this.#upstreams.values()) {
      const running = told.get(id);
      if (running === undefined) {
        peers.delete(peer);
      } else {
        peers.set(peer, running);
      }
    }
  }

  learnLengths(_peer: string, _sketches: readonly LengthSketch[]): void {}

  changedLengths(): readonly LengthSketch[] {
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
    const placed = this.#choose(demand, at);
    if (placed !== null) {
      return placed;
    }
    const slots = this.#openSlots(demand, at);
    if (slots === 0) {
      return {
        kind: "refuse",
        error: "no_upstream",
        reason: "no_engine",
        retryAfterMs: this.#retryAfter(noUpstreamRetryMs),
        figures: { upstreams: this.#upstreams.size },
      };
    }
    const waitMs = (this.#backlog.length + 1) * this.#serviceMs / slots;
    const allowedMs = waitShare * demand.targets.firstTokenMs;
    const figures = {
      waitMs: Math.round(waitMs),
      backlog: this.#backlog.length,
      slots,
    };
    if (waitMs > allowedMs || this.#backlog.length >= maxBacklog) {
      return {
        kind: "refuse",
        error: "overloaded",
        reason: "target_unreachable",
        retryAfterMs: this.#retryAfter(waitMs),
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

  release(at: Moment): readonly Release[] {
    const releases: Release[] = [];
    while (this.#backlog.length > 0) {
      const [first] = this.#backlog;
      if (first === undefined) {
        break;
      }
      const { demand, deadline } = first;
      const placed = this.#choose(demand, at);
      if (placed !== null) {
        releases.push({ demand, placement: placed });
      } else if (at.monotonic >= deadline) {
        releases.push({ demand, placement: this.#late(demand, at) });
      } else {
        break;
      }
      this.#backlog.shift();
      if (placed !== null) {
        // The caller sends it only after this loop.
        this.#hold(placed.engine, 1);
      }
    }
    for (const { placement } of releases) {
      if (placement.kind === "dispatch") {
        this.#hold(placement.engine, -1);
      }
    }
    return releases;
  }

  transfer(demand: Demand, { at }: TransferOptions): string | null {
    return this.#choose(demand, at)?.engine ?? null;
  }

  sent({ generationId, engine: id }: Sent, at: Moment): void {
    const upstream = this.#upstreams.get(id);
    if (upstream !== undefined) {
      upstream.running += 1;
      this.#flights.set(generationId, { upstream, sentAt: at.monotonic });
    }
  }

  progressed(_generationId: string, _tokens: number, _at: Moment): void {}

  ended(generationId: string, ending: Ending, at: Moment): void {
    const flight = this.#flights.get(generationId);
    if (flight === undefined) {
      return;
    }
    this.#flights.delete(generationId);
    const { upstream, sentAt } = flight;
    upstream.running -= 1;
    if (ending === "finished") {
      const passed = at.monotonic - sentAt;
      this.#serviceMs += serviceWeight * (passed - this.#serviceMs);
      upstream.circuit.succeeded(at.monotonic);
    } else if (ending !== "cancelled") {
      upstream.circuit.failed(ending, at.monotonic);
    }
    this.#forgetIdle(upstream);
  }

  #choose(demand: Demand, at: Moment): Dispatch | null {
    let best: Upstream | null = null;
    let bestScore = Infinity;
    for (const upstream of this.#upstreams.values()) {
      const score = this.#scoreOf(upstream, demand, at);
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

  /** Lower is better; infinite where the request must not go. */
  #scoreOf(upstream: Upstream, demand: Demand, at: Moment): number {
    const { id, circuit, slots, open } = upstream;
    const load = loadOf(upstream);
    if (!open || load >= slots || demand.avoid?.includes(id) === true) {
      return Infinity;
    }
    const allowance = circuit.allowance(at.monotonic);
    if (allowance === 0) {
      return Infinity;
    }
    const remote = upstream.dataCentre === this.#dataCentre ? 0 : remotePenalty;
    const probation = allowance < 1 ? probationPenalty : 0;
    // The random part spreads what several processes decide on old figures.
    const spread = this.#random.fraction() / slots;
    return load / slots + remote + probation + spread;
  }

  /** Slots that may become free for a demand. */
  #openSlots({ avoid = [] }: Demand, at: Moment): number {
    let slots = 0;
    for (const upstream of this.#upstreams.values()) {
      const { id, open, circuit } = upstream;
      if (
        open && !avoid.includes(id) && circuit.allowance(at.monotonic) > 0
      ) {
        slots += upstream.slots;
      }
    }
    return slots;
  }

  #late(demand: Demand, at: Moment): Exclude<Placement, { kind: "wait" }> {
    const lateMs = Math.round(at.monotonic - demand.arrivedAt);
    return {
      kind: "refuse",
      error: "overloaded",
      reason: "target_unreachable",
      retryAfterMs: this.#retryAfter(this.#serviceMs),
      figures: { lateMs },
    };
  }

  #retryAfter(waitMs: number): number {
    const bounded = Math.min(
      maxRetryAfterMs,
      Math.max(minRetryAfterMs, waitMs),
    );
    return Math.round(this.#random.jitter(bounded, retryAfterJitter));
  }

  #hold(id: string, change: number): void {
    const upstream = this.#upstreams.get(id);
    if (upstream !== undefined) {
      upstream.running += change;
    }
  }

  #forgetIdle(upstream: Upstream): void {
    if (!upstream.open && upstream.running === 0) {
      this.#upstreams.delete(upstream.id);
    }
  }
}

function loadOf({ running, peers }: Upstream): number {
  let load = running;
  for (const each of peers.values()) {
    load += each;
  }
  return load;
}
