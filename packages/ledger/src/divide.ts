import type { Split } from "@lavenderferry/configuration";

/** The debt of one partner, in millionths of a unit. */
export interface Debt {
  readonly partner: string;
  readonly microUnits: bigint;
}

/**
 * Divides units between the partners of a split.
 * The parts of a split are millionths, so debts in millionths of a unit have no
 * remainder.
 */
export function divide(amount: number, split: Split): readonly Debt[] {
  return Object.entries(split.parts).map(([partner, parts]) => ({
    partner,
    microUnits: BigInt(amount) * BigInt(parts),
  }));
}
