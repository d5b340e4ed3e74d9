import type { Statement } from "@lavenderferry/configuration";
import { statementSchema } from "@lavenderferry/configuration";
import { z } from "zod";
import type { OperatorClient } from "./operator_client.ts";

/** A version of the configuration as stewards show it. */
export interface StatedVersion {
  readonly version: number;
  readonly effectiveAt: number;
  readonly author: string;
  readonly statement: Statement;
}

const stampSchema = z.object({
  version: z.number(),
  effectiveAt: z.number(),
  author: z.string(),
});

/** Reads the newest version of the configuration. */
export async function readCurrent(
  client: OperatorClient,
): Promise<StatedVersion> {
  const { body } = await client.send("configuration");
  const { partners, splits, classes } = body;
  const statement = statementSchema.parse({ partners, splits, classes });
  return { ...stampSchema.parse(body), statement };
}
