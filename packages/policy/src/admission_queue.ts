import type { Moment, Random } from "@lavenderferry/runtime";
import type { AdaptiveOptions } from "./adaptive_options.ts";
import type { WaitingDemand } from "./backlog.ts";
import { Backlog } from "./backlog.ts";
import type {
  Demand,
  Figures,
  Placement,
  PlacementReason,
  ReleasedDemand,
} from "./dispatcher.ts";
import { DrainRate } from "./drain_rate.ts";
import type { Refusal } from "./refusal.ts";
import { boundRetryAfterMs, refuse } from "./refusal.ts";
import { WorkspaceShares } from "./workspace_shares.ts";

/** Share of the first queued demand's cost below which others overtake it. */
const maxOvertakingCostRatio = 0.25;
/** Factor on estimated waits, as the estimate is too high in bursts. */
const waitEstimateFactor = 0.8;
const maxBacklogRequests = 4_096;
/** Penalty on the sort key of a workspace that has all recent use. */
const sharePenaltyMs = 2_000;
/** Relative jitter of retry delays. */
const retryJitterShare = 0.25;

/** Returns the milliseconds until an engine is expected to have room. */
type RoomEstimate = (demand: Demand, at: Moment) => number;

/** Queues demands by their latest start, and refuses those that would miss it. */
export class AdmissionQueue {
  readonly #options: AdaptiveOptions;
  readonly #random: Random;
  readonly #estimateRoomMs: RoomEstimate;
  readonly #backlog = new Backlog();
  readonly #workspaceShares = new WorkspaceShares();
  readonly #drainRate = new DrainRate();

  constructor(
    options: AdaptiveOptions,
    random: Random,
    estimateRoomMs: RoomEstimate,
  ) {
    this.#options = options;
    this.#random = random;
    this.#estimateRoomMs = estimateRoomMs;
  }

  /** Number of queued demands. */
  get size(): number {
    return this.#backlog.size;
  }

  /** Returns up to `count` demands from the front of the queue. */
  head(count: number): readonly WaitingDemand[] {
    return this.#backlog.head(count);
  }

  /** Removes a demand if it is queued. */
  remove(requestId: string): void {
    this.#backlog.removeByRequestId(requestId);
  }

  /** Whether the first queued demand is more urgent and of comparable cost. */
  precedes({ deadline, cost }: Omit<WaitingDemand, "demand">): boolean {
    const [first] = this.#backlog.head(1);
    return first !== undefined && first.deadline <= deadline &&
      cost > maxOvertakingCostRatio * first.cost;
  }

  /** Records that a demand was dispatched. */
  recordStart({ workspace }: Demand, cost: number, at: Moment): void {
    const now = at.monotonic;
    this.#workspaceShares.add(workspace, cost, now);
    this.#drainRate.recordStart(cost, now, this.#backlog.size > 0);
  }

  /** Records that no queued demand could be dispatched. */
  recordNoStart(at: Moment): void {
    this.#drainRate.recordStart(0, at.monotonic, this.#backlog.size > 0);
  }

  /** Queues a demand, or refuses it if it would miss its latest start. */
  enqueue(waiting: WaitingDemand, at: Moment): Placement {
    const now = at.monotonic;
    const { demand, deadline } = waiting;
    const baseOrder = this.#options.slack ? deadline : demand.arrivedAt;
    const share = this.#workspaceShares.shareOf(demand.workspace, now);
    const penaltyMs = this.#options.fairness ? share * sharePenaltyMs : 0;
    const order = baseOrder + penaltyMs;
    const costAhead = this.#backlog.costAheadOf(order);
    const waitMs = this.#drainRate.waitMsFor(costAhead);
    const figures = {
      waitMs: Math.round(waitMs),
      slackMs: Math.round(deadline - now),
      backlog: this.#backlog.size,
      share: Math.round(share * 10_000) / 10_000,
    };
    const unreachable = this.#options.refusals &&
      now + waitEstimateFactor * waitMs > deadline;
    if (unreachable || this.#backlog.size >= maxBacklogRequests) {
      return this.#refuseUnreachable(demand, { figures, share, at });
    }
    this.#backlog.enqueue(waiting, { id: demand.requestId, order });
    return { kind: "wait", reason: "memory_at_risk", figures };
  }

  /** Removes and refuses the demands that would miss their latest start. */
  refuseUnmeetable(at: Moment): readonly ReleasedDemand[] {
    const now = at.monotonic;
    const unmeetable = this.#backlog.findUnmeetable(
      now,
      (cost) => waitEstimateFactor * this.#drainRate.waitMsFor(cost),
    );
    return unmeetable.map(({ demand, deadline }) => {
      this.remove(demand.requestId);
      const placement = this.refuseOverloaded(demand, "target_unreachable", at);
      const lateMs = Math.round(now - deadline);
      return { demand, placement: { ...placement, figures: { lateMs } } };
    });
  }

  /** Refuses a demand until the queued ones have started and there is room. */
  refuseOverloaded(
    demand: Demand,
    reason: PlacementReason,
    at: Moment,
  ): Refusal {
    const waitMs = Math.max(
      this.#drainRate.waitMsFor(this.#backlog.totalCost),
      this.#estimateRoomMs(demand, at),
    );
    const jitteredMs = this.#random.jitter(waitMs, retryJitterShare);
    const retryAfterMs = boundRetryAfterMs(jitteredMs);
    return refuse("overloaded", reason, { retryAfterMs });
  }

  #refuseUnreachable(
    demand: Demand,
    cause: {
      readonly figures: Figures;
      readonly share: number;
      readonly at: Moment;
    },
  ): Refusal {
    const { figures, share, at } = cause;
    const workspaces = this.#backlog.workspaceCount;
    const overShare = this.#options.fairness && workspaces > 1 &&
      share > 2 / workspaces && this.#backlog.countOf(demand.workspace) > 0;
    const refusal = this.refuseOverloaded(demand, "target_unreachable", at);
    return overShare
      ? {
        ...refusal,
        error: "workspace_limit",
        reason: "workspace_share",
        figures,
      }
      : { ...refusal, figures };
  }
}
