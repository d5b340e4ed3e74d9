/** Priorities that decide how urgent a request is; 0 is the highest. */
export interface RequestPriority {
  /** Priority of the caller's workspace, which goes first; `null`: none. */
  readonly workspace: number | null;
  readonly route: number;
}

/** Most urgent value that is stated. */
const mostUrgent = 1;

/** Least urgent value that an engine distinguishes. */
export const leastUrgent = 9;

/**
 * Maps priorities to the urgency with which engines admit requests, so that short
 * urgent requests are not processed behind long ones while engines are busy.
 */
export class UrgencyRanks {
  readonly #ranks: readonly string[];

  /** `priorities` are those of all requests that share engines. */
  constructor(priorities: readonly RequestPriority[]) {
    const distinct = new Map(
      priorities.map((priority) => [keyOf(priority), priority]),
    );
    this.#ranks = [...distinct.values()].sort(compare).map(keyOf);
  }

  /**
   * Returns the urgency of a request, 1 being the most urgent, or `null` if all
   * requests have the same priority.
   */
  urgencyOf(priority: RequestPriority): number | null {
    const rank = this.#ranks.indexOf(keyOf(priority));
    const lastRank = this.#ranks.length - 1;
    if (rank < 0 || lastRank === 0) {
      return null;
    }
    const span = Math.min(lastRank, leastUrgent - mostUrgent);
    return mostUrgent + Math.round(span * rank / lastRank);
  }
}

function keyOf({ workspace, route }: RequestPriority): string {
  return `${workspace ?? ""}/${route}`;
}

/** Orders by workspace, then by route; workspaces without a priority are last. */
function compare(a: RequestPriority, b: RequestPriority): number {
  const [first, second] = [a, b].map(({ workspace }) => workspace ?? Infinity);
  return first === second ? a.route - b.route : (first ?? 0) - (second ?? 0);
}
