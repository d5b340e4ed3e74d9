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
  /** Socket on which the entry serves callers over HTTP. */
  callers: socketSchema,
  /** Secret that the callers' keys are signed with. */
  callerSecret: secretSchema,
  /** Secret that event ids are signed with; the same at every entry. */
  streamSecret: secretSchema,
  /** Milliseconds from a planned stop until open streams are handed over. */
  stopMs: z.int().min(0).max(3_600_000).default(60_000),
  /** Largest request body in bytes. */
  maxBodyBytes: z.int().min(1_024).max(67_108_864).default(1_048_576),
  /** Placement policy; all but `adaptive` are baselines for benchmarks. */
  policy: z.enum(policyNames).default("adaptive"),
  /** Seed of random choices; by default each run of a process has its own. */
  seed: z.int().optional(),
});

/** The settings of one entry. */
export type EntrySettings = Readonly<z.output<typeof entrySettingsSchema>>;
