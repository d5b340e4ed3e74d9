import type { EntityDifference } from "@lavenderferry/configuration";
import { differenceKinds } from "@lavenderferry/configuration";
import { z } from "zod";
import type { OperatorClient } from "./operator_client.ts";

const entities = ["partners", "splits", "classes"] as const;

/** Schema of the differences between two versions, as stewards send them. */
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

/** The differences between two versions of the configuration. */
export interface VersionDifference {
  readonly from: number;
  readonly to: number;
  readonly changes: readonly EntityDifference[];
}

/**
 * Versions to compare. By default `to` is the newest version and `from` the
 * version before `to`.
 */
export interface VersionRange {
  readonly from?: number | undefined;
  readonly to?: number | undefined;
}

/** Requests the differences between two versions from a steward. */
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
