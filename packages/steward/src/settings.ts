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
  /** Socket on which operators reach this process by HTTP. */
  operators: socketSchema,
  /** Operators and the keys with which they identify themselves. */
  operatorKeys: z.record(nameSchema, secretSchema),
  /** Milliseconds between the acceptance of a change and its force. */
  effectiveAfterMs: z.int().min(1_000).max(60_000).default(1_500),
  /** Seed of random choices; left out: each run of a process has its own. */
  seed: z.int().optional(),
});

/** The settings of one steward. */
export type StewardSettings = Readonly<z.output<typeof stewardSettingsSchema>>;
