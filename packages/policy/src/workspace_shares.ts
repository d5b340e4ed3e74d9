const halfLifeMs = 10_000;
const maxWorkspaces = 4_096;

/** Amount of use as of the time `at`. */
interface Usage {
  amount: number;
  at: number;
}

/** Exponentially decaying use by workspace; evicts the least recently used. */
export class WorkspaceShares {
  readonly #usageByWorkspace = new Map<string, Usage>();
  #total: Usage = { amount: 0, at: 0 };

  /** Adds to the use of a workspace. */
  add(workspace: string, amount: number, now: number): void {
    const newUsage = {
      amount: this.#amountOf(workspace, now) + amount,
      at: now,
    };
    this.#usageByWorkspace.delete(workspace);
    this.#usageByWorkspace.set(workspace, newUsage);
    this.#total = { amount: decayedAmount(this.#total, now) + amount, at: now };
    const [oldest] = this.#usageByWorkspace.keys();
    if (this.#usageByWorkspace.size > maxWorkspaces && oldest !== undefined) {
      this.#usageByWorkspace.delete(oldest);
    }
  }

  /** Returns a workspace's share of all recent use, from 0 to 1. */
  shareOf(workspace: string, now: number): number {
    const total = decayedAmount(this.#total, now);
    return total <= 0 ? 0 : this.#amountOf(workspace, now) / total;
  }

  #amountOf(workspace: string, now: number): number {
    const usage = this.#usageByWorkspace.get(workspace);
    return usage === undefined ? 0 : decayedAmount(usage, now);
  }
}

function decayedAmount({ amount, at }: Usage, now: number): number {
  return amount * 2 ** (-(now - at) / halfLifeMs);
}
