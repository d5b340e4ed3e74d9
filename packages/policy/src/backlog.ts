import type { Queue } from "p-queue";
import type { Demand } from "./dispatcher.ts";

/** A queued demand. */
export interface WaitingDemand {
  readonly demand: Demand;
  /** Latest start in monotonic milliseconds. */
  readonly deadline: number;
  /** Expected memory use over time, in tokens times steps. */
  readonly cost: number;
}

/** Position of a queued demand. */
export interface BacklogOptions {
  readonly id: string;
  /** Sort key: deadline or arrival, plus the workspace's fairness penalty. */
  readonly order: number;
}

interface Item extends BacklogOptions {
  readonly waiting: WaitingDemand;
}

/** Queued demands, sorted by `order`; implements the queue of p-queue. */
export class Backlog implements Queue<WaitingDemand, BacklogOptions> {
  readonly #items: Item[] = [];
  readonly #countByWorkspace = new Map<string, number>();
  #totalCost = 0;

  get size(): number {
    return this.#items.length;
  }

  /** Sum of the costs of all queued demands. */
  get totalCost(): number {
    return this.#totalCost;
  }

  /** Number of workspaces with queued demands. */
  get workspaceCount(): number {
    return this.#countByWorkspace.size;
  }

  /** Number of queued demands of a workspace. */
  countOf(workspace: string): number {
    return this.#countByWorkspace.get(workspace) ?? 0;
  }

  /** Returns the total cost of the demands ahead of a new one with `order`. */
  costAheadOf(order: number): number {
    let total = 0;
    for (const item of this.#items) {
      if (item.order > order) {
        break;
      }
      total += item.waiting.cost;
    }
    return total;
  }

  enqueue(waiting: WaitingDemand, options?: Partial<BacklogOptions>): void {
    const { requestId: id, workspace } = waiting.demand;
    const order = options?.order ?? waiting.deadline;
    this.#items.splice(this.#insertionIndex(order), 0, { id, order, waiting });
    this.#countByWorkspace.set(workspace, this.countOf(workspace) + 1);
    this.#totalCost += waiting.cost;
  }

  dequeue(): WaitingDemand | undefined {
    const first = this.#items[0];
    return first === undefined ? undefined : this.removeByRequestId(first.id);
  }

  filter(options: Readonly<Partial<BacklogOptions>>): WaitingDemand[] {
    return this.#items.filter(({ id }) => options.id === id)
      .map(({ waiting }) => waiting);
  }

  setPriority(id: string, priority: number): void {
    const waiting = this.removeByRequestId(id);
    if (waiting !== undefined) {
      this.enqueue(waiting, { order: waiting.deadline - priority });
    }
  }

  /** Returns up to `count` demands from the front of the queue. */
  head(count: number): readonly WaitingDemand[] {
    return this.#items.slice(0, count).map(({ waiting }) => waiting);
  }

  /**
   * Returns the demands that cannot start by their deadline, given the time
   * until the demands ahead of them have started.
   */
  findUnmeetable(
    now: number,
    waitMsFor: (cost: number) => number,
  ): readonly WaitingDemand[] {
    const unmeetable: WaitingDemand[] = [];
    let costAhead = 0;
    for (const { waiting } of this.#items) {
      if (now + waitMsFor(costAhead) > waiting.deadline) {
        unmeetable.push(waiting);
      } else {
        costAhead += waiting.cost;
      }
    }
    return unmeetable;
  }

  /** Removes and returns the demand with a request id, if it is queued. */
  removeByRequestId(id: string): WaitingDemand | undefined {
    const index = this.#items.findIndex((item) => item.id === id);
    const [item] = index < 0 ? [] : this.#items.splice(index, 1);
    if (item === undefined) {
      return undefined;
    }
    const { workspace } = item.waiting.demand;
    const count = this.countOf(workspace) - 1;
    if (count > 0) {
      this.#countByWorkspace.set(workspace, count);
    } else {
      this.#countByWorkspace.delete(workspace);
    }
    this.#totalCost = this.#items.length === 0
      ? 0
      : this.#totalCost - item.waiting.cost;
    return item.waiting;
  }

  #insertionIndex(order: number): number {
    let low = 0;
    let high = this.#items.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#items[middle]?.order ?? 0) <= order) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
