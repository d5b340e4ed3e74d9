import {
  daemonSchema,
  nameSchema,
  secretSchema,
  socketSchema,
} from "@lavenderferry/settings";
import { z } from "zod";

/** Schema of the settings of one steward. */
export const stewardSettingsSchema = z.strictObject({
  ...daemonSchema.shape,
  /** Socket of the operators' HTTP server. */
  operators: socketSchema,
  /** Bearer keys of the operators, by operator name. */
  operatorKeys: z.record(nameSchema, secretSchema),
  /** Minimum milliseconds from a change's acceptance until it takes effect. */
  effectiveAfterMs: z.int().min(1_000).max(60_000).default(1_500),
  /** Seed of random choices; by default each run of a process has its own. */
  seed: z.int().optional(),
});

/** Parsed settings of one steward, with defaults applied. */
export type StewardSettings = Readonly<z.output<typeof stewardSettingsSchema>>;
