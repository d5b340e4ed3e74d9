import type { Statement } from "@lavenderferry/configuration";
import {
  configurationSchema,
  emptyConfiguration,
} from "@lavenderferry/configuration";
import { z } from "zod";
import type { OperatorClient } from "./operator_client.ts";

const historySchema = z.object({ versions: z.array(z.unknown()) });

/** Reads what one version stated; `null` when it does not exist. */
export async function readVersion(
  client: OperatorClient,
  version: number,
): Promise<Statement | null> {
  if (version === 0) {
    return emptyConfiguration.statement;
  }
  const { body } = await client.send(`history?after=${version - 1}`);
  const [first] = historySchema.parse(body).versions;
  const found = configurationSchema.safeParse(first);
  return found.data?.version === version ? found.data.statement : null;
}
