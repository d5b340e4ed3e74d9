import type { z } from "zod";

interface References {
  readonly partners: Readonly<Record<string, unknown>>;
  readonly splits: Readonly<
    Record<string, { readonly parts: Readonly<Record<string, number>> }>
  >;
  readonly classes: Readonly<Record<string, { readonly split: string }>>;
}

/** Reports each reference to a split or partner that does not exist. */
export function checkReferences(
  statement: References,
  context: z.core.$RefinementCtx,
): void {
  for (const [name, { parts }] of Object.entries(statement.splits)) {
    for (const partner of Object.keys(parts)) {
      if (!(partner in statement.partners)) {
        context.addIssue({
          code: "custom",
          path: ["splits", name, "parts", partner],
          message:
            `partner "${partner}" does not exist, but split "${name}" uses it`,
        });
      }
    }
  }
  for (const [name, { split }] of Object.entries(statement.classes)) {
    if (!(split in statement.splits)) {
      context.addIssue({
        code: "custom",
        path: ["classes", name, "split"],
        message: `split "${split}" does not exist, but class "${name}" uses it`,
      });
    }
  }
}
