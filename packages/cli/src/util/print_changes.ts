import type { EntityDifference } from "@lavenderferry/configuration";
import { printTable } from "./print.ts";

const entityNames: Readonly<Record<EntityDifference["entity"], string>> = {
  partners: "partner",
  splits: "split",
  classes: "class",
};

/** Prints the differences between two statements. */
export function printChanges(changes: readonly EntityDifference[]): void {
  printTable(
    ["change", "entity", "name", "member", "before", "after"],
    changes.flatMap(describeEntity),
  );
}

/** Names the entity of a difference, as `class summary`. */
export function nameEntity({ entity, name }: EntityDifference): string {
  return `${entityNames[entity]} ${name}`;
}

function describeEntity(
  { entity, name, kind, members }: EntityDifference,
): readonly (readonly string[])[] {
  const head = [kind, entityNames[entity], name];
  if (members.length === 0) {
    return [[...head, "", "", ""]];
  }
  return members.map(({ path, before, after }) => [
    ...head,
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
