import type { Statement } from "@lavenderferry/configuration";

/** One member of one entity that differs between two statements. */
export interface Change {
  readonly change: "added" | "removed" | "changed";
  readonly entity: "partner" | "split" | "class";
  readonly name: string;
  /** Path of the member, as `targets.stallMs`. */
  readonly member: string;
  readonly before: string;
  readonly after: string;
}

const entities = {
  partners: "partner",
  splits: "split",
  classes: "class",
} as const;

/** Lists the differences between two statements by entity. */
export function diffStatements(
  before: Statement,
  after: Statement,
): readonly Change[] {
  const kinds = Object.keys(entities) as (keyof typeof entities)[];
  return kinds.flatMap((kind) => {
    const names = new Set([
      ...Object.keys(before[kind]),
      ...Object.keys(after[kind]),
    ]);
    return [...names].sort().flatMap((name) =>
      diffEntity(
        { entity: entities[kind], name },
        before[kind][name],
        after[kind][name],
      )
    );
  });
}

function diffEntity(
  entity: Pick<Change, "entity" | "name">,
  before: object | undefined,
  after: object | undefined,
): readonly Change[] {
  const old = flatten(before ?? {});
  const fresh = flatten(after ?? {});
  const change = before === undefined
    ? "added"
    : after === undefined
    ? "removed"
    : "changed";
  const members = new Set([...old.keys(), ...fresh.keys()]);
  return [...members]
    .filter((member) => old.get(member) !== fresh.get(member))
    .map((member) => ({
      change,
      ...entity,
      member,
      before: old.get(member) ?? "",
      after: fresh.get(member) ?? "",
    }));
}

function flatten(value: object, prefix = ""): Map<string, string> {
  const members = new Map<string, string>();
  for (const [name, member] of Object.entries(value)) {
    const path = prefix + name;
    if (typeof member === "object" && !Array.isArray(member)) {
      for (const [inner, text] of flatten(member as object, `${path}.`)) {
        members.set(inner, text);
      }
    } else {
      members.set(path, String(member));
    }
  }
  return members;
}
