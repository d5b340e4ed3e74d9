const halfLifeMs = 10_000;
const maxWorkspaces = 4_096;

interface Use {
  amount: number;
  at: number;
}

/** Decaying use of each workspace, bounded to those used most recently. */
export class WorkspaceShares {
  readonly #uses = new Map<string, Use>();
  #total: Use = { amount: 0, at: 0 };

  /** Adds use of a workspace. */
  add(workspace: string, amount: number, now: number): void {
    const use = { amount: this.#amountOf(workspace, now) + amount, at: now };
    this.#uses.delete(workspace);
    this.#uses.set(workspace, use);
    this.#total = { amount: decayed(this.#total, now) + amount, at: now };
    const [oldest] = this.#uses.keys();
    if (this.#uses.size > maxWorkspaces && oldest !== undefined) {
      this.#uses.delete(oldest);
    }
  }

  /** Returns the share of all recent use that is the workspace's. */
  shareOf(workspace: string, now: number): number {
    const total = decayed(this.#total, now);
    return total <= 0 ? 0 : this.#amountOf(workspace, now) / total;
  }

  #amountOf(workspace: string, now: number): number {
    const use = this.#uses.get(workspace);
    return use === undefined ? 0 : decayed(use, now);
  }
}

function decayed({ amount, at }: Use, now: number): number {
  return amount * 2 ** (-(now - at) / halfLifeMs);
}
