import { baseUrlSchema, secretSchema } from "@lavenderferry/settings";
import { z } from "zod";

/** Schema of the settings of the operators' command line. */
export const cliSettingsSchema = z.strictObject({
  /** Base addresses of stewards; the first one that answers is used. */
  stewards: z.array(baseUrlSchema).min(1),
  operatorKey: secretSchema,
  /** Secret that signs the callers' keys; the command `key` needs it. */
  callerSecret: secretSchema.optional(),
});

/** The settings of the operators' command line. */
export type CliSettings = Readonly<z.output<typeof cliSettingsSchema>>;
