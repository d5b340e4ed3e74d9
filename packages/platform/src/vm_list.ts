import { z } from "zod";
import { socketAddressSchema } from "./socket_address_schema.ts";

/** Programs that a VM runs. */
export const vmRoles = {
  entry: "entry",
  steward: "steward",
  engine: "engine",
  service: "service",
} as const;

/** A value of `vmRoles`. */
export type VmRole = (typeof vmRoles)[keyof typeof vmRoles];

/** Schema of one VM in the platform's list. */
export const vmSchema = z.object({
  /** Name of the process on the VM; unique among live processes. */
  id: z.string(),
  role: z.enum(vmRoles),
  dataCentre: z.string(),
  region: z.string(),
  /** `leaving`: the VM is about to be reclaimed. */
  state: z.enum(["live", "leaving"]),
  /** IP number and port for callers or requests. */
  address: socketAddressSchema,
  /** IP number and port for peers; entries and stewards only. */
  peers: socketAddressSchema.optional(),
  /** Pool of an engine, or name of a service. */
  pool: z.string().optional(),
  /** Id by which an upstream checks that a request is meant for it. */
  instance: z.string().optional(),
  /** Requests that an upstream runs at the same time. */
  slots: z.int().min(1).optional(),
  /**
   * Milliseconds for which an upstream that has just started is cold, from the
   * time of the row on; 0: it is warm.
   */
  coldMs: z.number().min(0).optional(),
  /** Version of the list's row, where the platform counts versions. */
  version: z.int().min(0).optional(),
  /** Whether orders with an outdated fence are refused; `false` by default. */
  checksFence: z.boolean().default(false),
});

/** One VM in the platform's list. */
export type Vm = Readonly<z.output<typeof vmSchema>>;
