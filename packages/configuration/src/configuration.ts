import { z } from "zod";
import { checkReferences } from "./util/check_references.ts";

/** Parts into which a split divides one unit of cost. */
export const partsPerUnit = 1_000_000;

/** Reserved name of the account for usage whose class did not exist. */
export const unassignedPartner = "unassigned";

/** Maximum numbers of partners, splits and classes in one statement. */
export const maxEntities = { partners: 100, splits: 1_000, classes: 1_000 };

const nameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "expected 1 to 63 lower-case letters, digits and dashes",
);

const partnerNameSchema = nameSchema.refine(
  (name) => name !== unassignedPartner,
  { error: `the name "${unassignedPartner}" is reserved` },
);

/** Schema of a partner, a party to which costs may be charged. */
export const partnerSchema = z.strictObject({ title: z.string().max(200) });

/** Schema of a split: parts per million by partner, in total one million. */
export const splitSchema = z.strictObject({
  parts: z.record(nameSchema, z.int().min(0).max(partsPerUnit)).refine(
    (parts) =>
      Object.values(parts).reduce((sum, part) => sum + part, 0) ===
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
  /** Total time in which a generation may make no progress. */
  stallMs: z.int().min(0).max(3_600_000),
  /** Preemptions per thousand generations. */
  preemptionsPerThousand: z.int().min(0).max(1_000_000),
  /** Time until the answer is complete. */
  completionMs: z.int().min(1).max(86_400_000),
  /** Share of requests that have to meet the targets, in percent. */
  percent: z.number().min(1).max(100).default(95),
});

/** Ways to deliver the answers of a class: as a stream or complete. */
export const deliveries = { stream: "stream", whole: "whole" } as const;

/** Schema of a class of work. */
export const classSchema = z.strictObject({
  title: z.string().max(200),
  targets: targetsSchema,
  /** Name of the split by which costs are charged to partners. */
  split: nameSchema,
  /** `whole`: the answer is delivered only when it is complete. */
  delivery: z.enum(deliveries).default("stream"),
  /** Models that the class may use; all models if omitted. */
  models: z.array(z.string().max(100)).max(100).optional(),
});

/** Schema of a statement: the partners, splits and classes of operators. */
export const statementSchema = z.strictObject({
  partners: limitEntries(
    z.record(partnerNameSchema, partnerSchema),
    "partners",
  ),
  splits: limitEntries(z.record(nameSchema, splitSchema), "splits"),
  classes: limitEntries(z.record(nameSchema, classSchema), "classes"),
}).superRefine(checkReferences);

/** Targets of a class; times are in milliseconds. */
export type Targets = Readonly<z.output<typeof targetsSchema>>;

/** A class of work: its targets, its split and its delivery. */
export type WorkClass = Readonly<z.output<typeof classSchema>>;

/** A split of costs between partners, in parts per million. */
export type Split = Readonly<z.output<typeof splitSchema>>;

/** The partners, splits and classes that operators set, by name. */
export type Statement = Readonly<z.output<typeof statementSchema>>;

/** Schema of one accepted version of the configuration. */
export const configurationSchema = z.strictObject({
  /** Increases by one with every accepted change, from 0 before the first. */
  version: z.int().min(0),
  /** Milliseconds since the Unix epoch from which the version is in force. */
  effectiveAt: z.number(),
  /** Milliseconds since the Unix epoch at which the version was accepted. */
  acceptedAt: z.number(),
  /** Name of the operator who made the change. */
  author: z.string(),
  /** Random id by which a writer recognises its own write of the version. */
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

function limitEntries<Schema extends z.ZodRecord>(
  schema: Schema,
  entities: keyof typeof maxEntities,
): Schema {
  const limit = maxEntities[entities];
  return schema.refine((record) => Object.keys(record).length <= limit, {
    error: `expected at most ${limit} ${entities}`,
  });
}
