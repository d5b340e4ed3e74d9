import type { Statement } from "./configuration.ts";

/** Kinds of differences between two statements. */
export const differenceKinds = {
  added: "added",
  removed: "removed",
  changed: "changed",
} as const;

/** One of the kinds of differences. */
export type DifferenceKind =
  (typeof differenceKinds)[keyof typeof differenceKinds];

/** A member of an entity whose value differs. */
export interface MemberDifference {
  /** Path of the member within the entity, joined by dots. */
  readonly path: string;
  /** Previous value; omitted when the member did not exist. */
  readonly before?: unknown;
  /** New value; omitted when the member was removed. */
  readonly after?: unknown;
}

/** One partner, split or class that differs between two statements. */
export interface EntityDifference {
  readonly entity: keyof Statement;
  readonly name: string;
  readonly kind: DifferenceKind;
  /** Members that differ; empty when the entity was added or removed. */
  readonly members: readonly MemberDifference[];
}

const entities = ["partners", "splits", "classes"] as const;

/** Returns the differences between two statements, by entity and name. */
export function diffStatements(
  before: Statement,
  after: Statement,
): readonly EntityDifference[] {
  return entities.flatMap((entity) => {
    const names = sortedKeys(before[entity], after[entity]);
    return names.flatMap((name) => {
      const values = {
        before: before[entity][name],
        after: after[entity][name],
      };
      const difference = diffEntity(values);
      return difference === null ? [] : [{ entity, name, ...difference }];
    });
  });
}

function diffEntity(
  { before, after }: { before: unknown; after: unknown },
): Pick<EntityDifference, "kind" | "members"> | null {
  if (before === undefined) {
    return { kind: "added", members: [] };
  }
  if (after === undefined) {
    return { kind: "removed", members: [] };
  }
  const members = diffMembers(before, after, []);
  return members.length === 0 ? null : { kind: "changed", members };
}

function diffMembers(
  before: unknown,
  after: unknown,
  path: readonly string[],
): readonly MemberDifference[] {
  if (isRecord(before) && isRecord(after)) {
    return sortedKeys(before, after).flatMap((name) =>
      diffMembers(before[name], after[name], [...path, name])
    );
  }
  if (JSON.stringify(before) === JSON.stringify(after)) {
    return [];
  }
  return [{
    path: path.join("."),
    ...(before === undefined ? {} : { before }),
    ...(after === undefined ? {} : { after }),
  }];
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function sortedKeys(before: object, after: object): readonly string[] {
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names].sort();
}
