import type { Statement } from "@lavenderferry/configuration";
import { statementSchema } from "@lavenderferry/configuration";
import { z } from "zod";

/**
 * Schema of a configuration file: a statement, and the version that the file
 * was made from. The output of `get --json` is such a file.
 */
export const statementFileSchema = z.strictObject({
  version: z.int().min(0).optional(),
  effectiveAt: z.number().optional(),
  author: z.string().optional(),
  ...statementSchema.shape,
}).superRefine((file, context) => {
  const checked = statementSchema.safeParse(toStatement(file));
  for (const { path, message } of checked.error?.issues ?? []) {
    context.addIssue({ code: "custom", path: [...path], message });
  }
});

/** Returns the statement in a configuration file, without the version. */
export function toStatement(
  { partners, splits, classes }: Statement,
): Statement {
  return { partners, splits, classes };
}
