import { baseUrlSchema, secretSchema } from "@lavenderferry/settings";
import { z } from "zod";

/** Schema of the settings of the operators' command line. */
export const cliSettingsSchema = z.strictObject({
  /** Base URLs of stewards, tried in this order until one responds. */
  stewards: z.array(baseUrlSchema).min(1),
  operatorKey: secretSchema,
  /** Secret that signs caller keys; only the command `key` needs it. */
  callerSecret: secretSchema.optional(),
});

/** Valid settings of the operators' command line. */
export type CliSettings = Readonly<z.output<typeof cliSettingsSchema>>;
