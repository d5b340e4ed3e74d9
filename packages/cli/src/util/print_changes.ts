import type { EntityDifference } from "@lavenderferry/configuration";
import { printTable } from "./print.ts";

const entityNames: Readonly<Record<EntityDifference["entity"], string>> = {
  partners: "partner",
  splits: "split",
  classes: "class",
};

/** Prints the differences between two statements, a row per changed member. */
export function printChanges(changes: readonly EntityDifference[]): void {
  printTable(
    ["change", "entity", "name", "member", "before", "after"],
    changes.flatMap(toTableRows),
  );
}

/** Returns the entity of a difference as text, such as `class summary`. */
export function describeEntity({ entity, name }: EntityDifference): string {
  return `${entityNames[entity]} ${name}`;
}

function toTableRows(
  { entity, name, kind, members }: EntityDifference,
): readonly (readonly string[])[] {
  const entityCells = [kind, entityNames[entity], name];
  if (members.length === 0) {
    return [[...entityCells, "", "", ""]];
  }
  return members.map(({ path, before, after }) => [
    ...entityCells,
    path,
    describeValue(before),
    describeValue(after),
  ]);
}

function describeValue(value: unknown): string {
  if (value === undefined) {
    return "";
  }
  return typeof value === "string" ? value : JSON.stringify(value);
}
