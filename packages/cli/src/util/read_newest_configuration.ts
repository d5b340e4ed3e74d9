import type { Statement } from "@lavenderferry/configuration";
import { statementSchema } from "@lavenderferry/configuration";
import { z } from "zod";
import type { OperatorClient } from "./operator_client.ts";

/** The newest accepted configuration, which may not be in force yet. */
export interface NewestConfiguration {
  readonly version: number;
  /** Milliseconds since the Unix epoch from which it is in force. */
  readonly effectiveAt: number;
  /** Name of the operator; empty for version 0. */
  readonly author: string;
  readonly statement: Statement;
}

const versionSchema = z.object({
  version: z.number(),
  effectiveAt: z.number(),
  author: z.string(),
});

/** Requests the newest accepted configuration from a steward. */
export async function readNewestConfiguration(
  client: OperatorClient,
): Promise<NewestConfiguration> {
  const { body } = await client.send("configuration");
  const { partners, splits, classes } = body;
  const statement = statementSchema.parse({ partners, splits, classes });
  return { ...versionSchema.parse(body), statement };
}
