import { z } from "zod";

/** Schema of a service that a route leads to, with its share of the work. */
const weightedServiceSchema = z.object({
  service: z.string(),
  /** Share of the requests, relative to the route's other services. */
  weight: z.number().min(0),
});

/** Schema of a rule that says where requests go. */
const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Start of the paths that the route takes; ends with a slash. */
  prefix: z.string(),
  /** Whether the answer is a series of events. */
  streaming: z.boolean(),
  /** Whether a request may run more than once. */
  repeatable: z.boolean(),
  /** Milliseconds after which a request gets its final answer. */
  timeoutMs: z.number(),
  /** Milliseconds until the answer, or its first event, is due. */
  targetMs: z.number(),
  /** Milliseconds that two events may be apart. */
  pauseTargetMs: z.number(),
  /** Rank of the route; 0 is the highest. */
  priority: z.int(),
  services: z.array(weightedServiceSchema),
  /** Upstreams at which one request may run. */
  attempts: z.int(),
  /** Whether requests need no key. */
  keyless: z.boolean(),
});

/** Schema of the engines of a service. */
const enginesSchema = z.object({
  slots: z.int(),
  /** Tokens that the key-value memory of one engine holds. */
  memoryTokens: z.number(),
  models: z.array(z.string()),
  /** Tokens in one event of a stream. */
  tokensPerEvent: z.number(),
  /** Whether engines keep copies of the memory of others' generations. */
  copies: z.boolean(),
  /** Whether engines move the memory of generations on request. */
  moves: z.boolean(),
});

/** Schema of a service: upstreams that serve the same requests. */
const serviceSchema = z.object({
  name: z.string(),
  /** Connections that one upstream accepts from all processes together. */
  connections: z.int(),
  /** `null`: a plain service without models. */
  engines: enginesSchema.nullable(),
});

/** Schema of the bounds of what a caller may send. */
const callerLimitsSchema = z.object({
  headerBytes: z.int(),
  bodyBytes: z.int(),
  /** Milliseconds that the header of a request may take. */
  headersMs: z.number(),
  /** Milliseconds that a connection may be idle. */
  idleMs: z.number(),
});

/** Schema of one version of the routing. */
export const routingSchema = z.object({
  version: z.int(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  /** Keys by workspace; `null`: requests carry no keys. */
  workspaces: z.array(
    z.object({ name: z.string(), keys: z.array(z.string()) }),
  ).nullable(),
  limits: callerLimitsSchema,
});

/** A rule that says where requests go. */
export type Route = Readonly<z.output<typeof routeSchema>>;

/** Upstreams that serve the same requests. */
export type Service = Readonly<z.output<typeof serviceSchema>>;

/** One version of where requests go and who may send them. */
export type Routing = Readonly<z.output<typeof routingSchema>>;
