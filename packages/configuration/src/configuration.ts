import { z } from "zod";
import { checkReferences } from "./util/check_references.ts";

/** Parts into which one unit of cost is divided. */
export const partsPerUnit = 1_000_000;

/** Account of usage whose class was unknown when it arose; no partner. */
export const unassignedPartner = "unassigned";

/** Most partners, splits and classes that one statement may hold. */
export const maxEntities = { partners: 100, splits: 1_000, classes: 1_000 };

const nameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "expected 1 to 63 lower-case letters, digits and dashes",
);

const partnerNameSchema = nameSchema.refine(
  (name) => name !== unassignedPartner,
  { error: `the name "${unassignedPartner}" is reserved` },
);

/** Schema of a partner: one who may owe cost. */
export const partnerSchema = z.strictObject({ title: z.string().max(200) });

/** Schema of a split: parts per million by partner, which sum to a million. */
export const splitSchema = z.strictObject({
  parts: z.record(nameSchema, z.int().min(0).max(partsPerUnit)).refine(
    (parts) =>
      Object.values(parts).reduce((sum, each) => sum + each, 0) ===
        partsPerUnit,
    { error: `expected parts that sum to ${partsPerUnit}` },
  ),
});

/** Schema of the targets of a class; times are in milliseconds. */
export const targetsSchema = z.strictObject({
  /** Time until the first token. */
  firstTokenMs: z.int().min(1).max(3_600_000),
  /** Time between two tokens. */
  betweenTokensMs: z.int().min(1).max(3_600_000),
  /** Total time without progress that a generation may see. */
  stallMs: z.int().min(0).max(3_600_000),
  /** Preemptions per thousand generations. */
  preemptionsPerThousand: z.int().min(0).max(1_000_000),
  /** Time until the answer is whole. */
  completionMs: z.int().min(1).max(86_400_000),
  /** Share of requests that must meet the targets, in percent. */
  percent: z.number().min(1).max(100).default(95),
});

/** How the readers of a class take the answer. */
export const deliveries = { stream: "stream", whole: "whole" } as const;

/** Schema of a class of work. */
export const classSchema = z.strictObject({
  title: z.string().max(200),
  targets: targetsSchema,
  /** Name of the split that says who pays. */
  split: nameSchema,
  /** `whole`: nothing is delivered before the answer is complete. */
  delivery: z.enum(deliveries).default("stream"),
  /** Models that the class may use; all when left out. */
  models: z.array(z.string().max(100)).max(100).optional(),
});

/** Schema of what operators state. */
export const statementSchema = z.strictObject({
  partners: limited(z.record(partnerNameSchema, partnerSchema), "partners"),
  splits: limited(z.record(nameSchema, splitSchema), "splits"),
  classes: limited(z.record(nameSchema, classSchema), "classes"),
}).superRefine(checkReferences);

/** The targets of a class. */
export type Targets = Readonly<z.output<typeof targetsSchema>>;

/** A class of work. */
export type WorkClass = Readonly<z.output<typeof classSchema>>;

/** A split of cost between partners. */
export type Split = Readonly<z.output<typeof splitSchema>>;

/** What operators state: partners, splits and classes by name. */
export type Statement = Readonly<z.output<typeof statementSchema>>;

/** Schema of one accepted version of the configuration. */
export const configurationSchema = z.strictObject({
  /** Grows by one with every accepted change; 0 is empty. */
  version: z.int().min(0),
  /** Milliseconds since the Unix epoch from which it is in force. */
  effectiveAt: z.number(),
  /** Milliseconds since the Unix epoch at which it was accepted. */
  acceptedAt: z.number(),
  /** Operator who stated it. */
  author: z.string(),
  /** Tells the writer of a version from others that wrote the same number. */
  nonce: z.string().optional(),
  statement: statementSchema,
});

/** One accepted version of the configuration. */
export type Configuration = Readonly<z.output<typeof configurationSchema>>;

/** The configuration before the first change. */
export const emptyConfiguration: Configuration = {
  version: 0,
  effectiveAt: 0,
  acceptedAt: 0,
  author: "",
  statement: { partners: {}, splits: {}, classes: {} },
};

function limited<Schema extends z.ZodRecord>(
  schema: Schema,
  entities: keyof typeof maxEntities,
): Schema {
  const limit = maxEntities[entities];
  return schema.refine((record) => Object.keys(record).length <= limit, {
    error: `expected at most ${limit} ${entities}`,
  });
}
