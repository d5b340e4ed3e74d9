import fc from "fast-check";
import t from "tap";
import { divide } from "./divide.ts";
import { roundDebts } from "./round_debts.ts";

const cases = [
  {
    name: "whole units are kept",
    debts: { ida: 2_000_000n, jan: 3_000_000n },
    expected: { ida: 2n, jan: 3n },
  },
  {
    name: "the largest remainder gets the remaining unit",
    debts: { ida: 1_400_000n, jan: 1_600_000n },
    expected: { ida: 1n, jan: 2n },
  },
  {
    name: "equal remainders are ordered by name",
    debts: { jan: 500_000n, ida: 500_000n },
    expected: { jan: 0n, ida: 1n },
  },
  {
    name: "a fraction of a unit in the total is dropped",
    debts: { ida: 300_000n, jan: 300_000n },
    expected: { ida: 0n, jan: 0n },
  },
  { name: "no debts give no units", debts: {}, expected: {} },
] as const;

for (const { name, debts, expected } of cases) {
  t.test(name, (t) => {
    const list = Object.entries(debts).map(([partner, microUnits]) => ({
      partner,
      microUnits,
    }));
    const rounded = roundDebts(list);
    t.strictSame(
      Object.fromEntries(rounded.map(({ partner, units }) => [partner, units])),
      expected,
    );
    t.end();
  });
}

t.test("exact and rounded debts sum to the divided amount", (t) => {
  const amount = fc.nat({ max: Number.MAX_SAFE_INTEGER });
  const cuts = fc.array(fc.nat(1_000_000), { maxLength: 6 });
  fc.assert(
    fc.property(amount, cuts, (amount, cuts) => {
      const debts = divide(amount, { parts: partsOf(cuts) });
      const exact = debts.reduce((sum, debt) => sum + debt.microUnits, 0n);
      const rounded = roundDebts(debts).reduce(
        (sum, debt) => sum + debt.units,
        0n,
      );
      return exact === BigInt(amount) * 1_000_000n &&
        rounded === BigInt(amount);
    }),
    { seed: 4, numRuns: 500 },
  );
  t.end();
});

function partsOf(cuts: readonly number[]): Record<string, number> {
  const bounds = [0, ...[...cuts].sort((a, b) => a - b), 1_000_000];
  const parts = bounds.slice(1).map((bound, index) =>
    [`p${index}`, bound - (bounds[index] ?? 0)] as const
  );
  return Object.fromEntries(parts);
}
