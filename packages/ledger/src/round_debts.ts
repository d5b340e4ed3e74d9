import type { Debt } from "./divide.ts";

const microUnitsPerUnit = 1_000_000n;

/** The debt of one partner, in whole units. */
export interface RoundedDebt {
  readonly partner: string;
  readonly units: bigint;
}

/**
 * Rounds debts to whole units that sum to the rounded-down total.
 * Each partner gets the whole units that it owes. The remaining units go to the
 * partners with the largest remainders, in order of name if these are equal.
 */
export function roundDebts(debts: readonly Debt[]): readonly RoundedDebt[] {
  const total = debts.reduce((sum, debt) => sum + debt.microUnits, 0n) /
    microUnitsPerUnit;
  const whole = debts.reduce((sum, debt) => sum + wholeUnitsOf(debt), 0n);
  const receivers = new Set(
    [...debts].sort(compareRemainders).slice(0, Number(total - whole)),
  );
  return debts.map((debt) => ({
    partner: debt.partner,
    units: wholeUnitsOf(debt) + (receivers.has(debt) ? 1n : 0n),
  }));
}

function wholeUnitsOf({ microUnits }: Debt): bigint {
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
