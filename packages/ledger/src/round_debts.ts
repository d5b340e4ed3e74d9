import type { Debt } from "./divide.ts";

const microUnitsPerUnit = 1_000_000n;

/** What one partner owes, in whole units. */
export interface RoundedDebt {
  readonly partner: string;
  readonly units: bigint;
}

/**
 * Rounds debts to whole units that sum to the rounded-down total.
 * Each partner gets the whole units that it owes; the units that remain go to
 * the largest remainders, and equal remainders to the first name.
 */
export function roundDebts(debts: readonly Debt[]): readonly RoundedDebt[] {
  const total = debts.reduce((sum, each) => sum + each.microUnits, 0n) /
    microUnitsPerUnit;
  const whole = debts.reduce((sum, each) => sum + unitsOf(each), 0n);
  const receivers = new Set(
    [...debts].sort(compareRemainders).slice(0, Number(total - whole)),
  );
  return debts.map((debt) => ({
    partner: debt.partner,
    units: unitsOf(debt) + (receivers.has(debt) ? 1n : 0n),
  }));
}

function unitsOf({ microUnits }: Debt): bigint {
  return microUnits / microUnitsPerUnit;
}

function compareRemainders(a: Debt, b: Debt): number {
  const difference = b.microUnits % microUnitsPerUnit -
    a.microUnits % microUnitsPerUnit;
  if (difference !== 0n) {
    return difference > 0n ? 1 : -1;
  }
  return a.partner < b.partner ? -1 : 1;
}
