import {
  daemonSchema,
  secretSchema,
  socketSchema,
} from "@lavenderferry/settings";
import { policyNames } from "@lavenderferry/policy";
import { z } from "zod";

/** Schema of the settings of one entry. */
export const entrySettingsSchema = z.strictObject({
  ...daemonSchema.shape,
  /** Socket on which callers reach this process by HTTP. */
  callers: socketSchema,
  /** Secret that signs the callers' keys. */
  callerSecret: secretSchema,
  /** Secret that signs event ids; the same at every entry. */
  streamSecret: secretSchema,
  /** Milliseconds that running work may take after a planned stop. */
  stopMs: z.int().min(0).max(3_600_000).default(60_000),
  /** Largest request body in bytes. */
  maxBodyBytes: z.int().min(1_024).max(67_108_864).default(1_048_576),
  /** Policy of placement; the baselines serve measurements. */
  policy: z.enum(policyNames).default("adaptive"),
  /** Seed of random choices; left out: each run of a process has its own. */
  seed: z.int().optional(),
});

/** The settings of one entry. */
export type EntrySettings = Readonly<z.output<typeof entrySettingsSchema>>;
