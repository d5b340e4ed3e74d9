import type { Queue } from "p-queue";
import type { Demand } from "./dispatcher.ts";

/** A demand that waits. */
export interface Waiting {
  readonly demand: Demand;
  /** Latest start, in monotonic milliseconds. */
  readonly deadline: number;
  /** Expected use of memory over time. */
  readonly cost: number;
}

/** Where a waiting demand stands in the order. */
export interface BacklogOptions {
  readonly id: string;
  /** Deadline shifted by what its workspace has had beyond its share. */
  readonly order: number;
}

interface Item extends BacklogOptions {
  readonly waiting: Waiting;
}

/** Waiting demands ordered by slack; implements the queue of p-queue. */
export class Backlog implements Queue<Waiting, BacklogOptions> {
  readonly #items: Item[] = [];
  readonly #counts = new Map<string, number>();
  #cost = 0;

  get size(): number {
    return this.#items.length;
  }

  /** Expected use of memory over time of all that wait. */
  get cost(): number {
    return this.#cost;
  }

  /** Workspaces that wait. */
  get workspaces(): number {
    return this.#counts.size;
  }

  /** Demands of one workspace that wait. */
  countOf(workspace: string): number {
    return this.#counts.get(workspace) ?? 0;
  }

  /** Cost of everything that goes before an order. */
  costBefore(order: number): number {
    let sum = 0;
    for (const item of this.#items) {
      if (item.order > order) {
        break;
      }
      sum += item.waiting.cost;
    }
    return sum;
  }

  enqueue(waiting: Waiting, options?: Partial<BacklogOptions>): void {
    const { requestId: id, workspace } = waiting.demand;
    const order = options?.order ?? waiting.deadline;
    this.#items.splice(this.#position(order), 0, { id, order, waiting });
    this.#counts.set(workspace, this.countOf(workspace) + 1);
    this.#cost += waiting.cost;
  }

  dequeue(): Waiting | undefined {
    const first = this.#items[0];
    return first === undefined ? undefined : this.take(first.id);
  }

  filter(options: Readonly<Partial<BacklogOptions>>): Waiting[] {
    return this.#items.filter(({ id }) => options.id === id)
      .map(({ waiting }) => waiting);
  }

  setPriority(id: string, priority: number): void {
    const waiting = this.take(id);
    if (waiting !== undefined) {
      this.enqueue(waiting, { order: waiting.deadline - priority });
    }
  }

  /** Returns the first demands in order. */
  head(count: number): readonly Waiting[] {
    return this.#items.slice(0, count).map(({ waiting }) => waiting);
  }

  /**
   * Returns the demands that can not start in time, given the time that it
   * takes to start what goes before them.
   */
  late(now: number, waitOf: (cost: number) => number): readonly Waiting[] {
    const late: Waiting[] = [];
    let ahead = 0;
    for (const { waiting } of this.#items) {
      if (now + waitOf(ahead) > waiting.deadline) {
        late.push(waiting);
      } else {
        ahead += waiting.cost;
      }
    }
    return late;
  }

  /** Removes one demand by its request id. */
  take(id: string): Waiting | undefined {
    const index = this.#items.findIndex((item) => item.id === id);
    const [item] = index < 0 ? [] : this.#items.splice(index, 1);
    if (item === undefined) {
      return undefined;
    }
    const { workspace } = item.waiting.demand;
    const count = this.countOf(workspace) - 1;
    if (count > 0) {
      this.#counts.set(workspace, count);
    } else {
      this.#counts.delete(workspace);
    }
    this.#cost = this.#items.length === 0 ? 0 : this.#cost - item.waiting.cost;
    return item.waiting;
  }

  #position(order: number): number {
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
