import type { Configuration } from "@lavenderferry/configuration";
import { configurationSchema } from "@lavenderferry/configuration";

/** Parses a configuration of a peer; returns `null` if it is invalid. */
export function readConfiguration(document: unknown): Configuration | null {
  const parsed = configurationSchema.safeParse(document);
  return parsed.success ? parsed.data : null;
}
