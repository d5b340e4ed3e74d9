import type { Change } from "./diff_statements.ts";
import { printTable } from "./print.ts";

/** Prints the differences between two statements. */
export function printChanges(changes: readonly Change[]): void {
  printTable(
    ["change", "entity", "name", "member", "before", "after"],
    changes.map(({ change, entity, name, member, before, after }) => [
      change,
      entity,
      name,
      member,
      before,
      after,
    ]),
  );
}
