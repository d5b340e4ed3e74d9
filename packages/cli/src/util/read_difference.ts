import type { EntityDifference } from "@lavenderferry/configuration";
import { differenceKinds } from "@lavenderferry/configuration";
import { z } from "zod";
import type { OperatorClient } from "./operator_client.ts";

const entities = ["partners", "splits", "classes"] as const;

/** Schema of the differences that a steward lists. */
export const changesSchema = z.array(z.object({
  entity: z.enum(entities),
  name: z.string(),
  kind: z.enum(differenceKinds),
  members: z.array(z.object({
    path: z.string(),
    before: z.unknown(),
    after: z.unknown(),
  })),
}));

const differenceSchema = z.object({
  from: z.number(),
  to: z.number(),
  changes: changesSchema,
});

/** What differs between two versions of the configuration. */
export interface VersionDifference {
  readonly from: number;
  readonly to: number;
  readonly changes: readonly EntityDifference[];
}

/** Versions to compare; left out: the last change to the newest version. */
export interface VersionRange {
  readonly from?: number | undefined;
  readonly to?: number | undefined;
}

/** Asks a steward for the differences between two versions. */
export async function readDifference(
  client: OperatorClient,
  range: VersionRange,
): Promise<VersionDifference> {
  const query = new URLSearchParams();
  for (const name of ["from", "to"] as const) {
    const version = range[name];
    if (version !== undefined) {
      query.set(name, String(version));
    }
  }
  const { body } = await client.send(`diff?${query.toString()}`);
  return differenceSchema.parse(body);
}
