import { z } from "zod";

/** Schema of a service of a route, with its share of the requests. */
const weightedServiceSchema = z.object({
  service: z.string(),
  /** Share of the requests, relative to the route's other services. */
  weight: z.number().min(0),
});

/** Schema of a route: which requests it matches, and where they are sent. */
const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Prefix of the paths that the route matches; ends with a slash. */
  prefix: z.string(),
  /** Whether the answer is a stream of server-sent events. */
  streaming: z.boolean(),
  /** Whether a request may run more than once. */
  repeatable: z.boolean(),
  /** Time limit of a request, in milliseconds. */
  timeoutMs: z.number(),
  /** Target time until the answer, or its first event, in milliseconds. */
  targetMs: z.number(),
  /** Target for the longest time between two events, in milliseconds. */
  pauseTargetMs: z.number(),
  /** Priority of the route; 0 is the highest. */
  priority: z.int(),
  services: z.array(weightedServiceSchema),
  /** Limit on the upstreams at which one request may run. */
  attempts: z.int(),
  /** Whether requests are accepted without a workspace key. */
  keyless: z.boolean(),
});

/** Schema of the engines of a service. */
const enginesSchema = z.object({
  /** Generations that one engine runs at the same time. */
  slots: z.int(),
  /** Capacity of one engine's key-value memory, in tokens. */
  memoryTokens: z.number(),
  models: z.array(z.string()),
  /** Tokens per event of a stream. */
  tokensPerEvent: z.number(),
  /** Whether engines keep copies of generations that run elsewhere. */
  copies: z.boolean(),
  /** Whether engines copy generations to other engines on request. */
  moves: z.boolean(),
  /** Tokens per millisecond that a link within a data centre carries. */
  copyTokensPerMs: z.number().positive().optional(),
});

/** Schema of a service, which is served by a pool of equal upstreams. */
const serviceSchema = z.object({
  name: z.string(),
  /** Connection limit of one upstream, across all relay processes. */
  connections: z.int(),
  /**
   * Requests a second that one cold upstream handles; 0: no limit. Older builds
   * do not state it.
   */
  coldRate: z.number().min(0).optional(),
  /** `null`: the service runs no models. */
  engines: enginesSchema.nullable(),
});

/** Schema of the limits on callers' requests and connections. */
const callerLimitsSchema = z.object({
  headerBytes: z.int(),
  bodyBytes: z.int(),
  /** Time limit for receiving the headers of a request, in milliseconds. */
  headersMs: z.number(),
  /** Time-out of idle connections, in milliseconds. */
  idleMs: z.number(),
});

const workspaceSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Priority of all its requests; 0 is the highest. */
  priority: z.int().optional(),
});

/** Schemas of the items of the lists of a routing. */
export const itemSchemas = {
  routes: routeSchema,
  services: serviceSchema,
  workspaces: workspaceSchema,
} as const;

/** Schema of one version of the routing. */
export const routingSchema = z.object({
  version: z.int(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  /** Workspaces and their keys; `null`: requests carry no keys. */
  workspaces: z.array(workspaceSchema).nullable(),
  limits: callerLimitsSchema,
});

/** Schema of a routing with the lengths of its lists in their place. */
export const routingHeadSchema = routingSchema.extend({
  routes: z.int().min(0),
  services: z.int().min(0),
  workspaces: z.int().min(0).nullable(),
});

/** Route of requests, selected by host and path prefix. */
export type Route = Readonly<z.output<typeof routeSchema>>;

/** Service that is served by a pool of equal upstreams. */
export type Service = Readonly<z.output<typeof serviceSchema>>;

/** One version of the routes, services, workspace keys and limits. */
export type Routing = Readonly<z.output<typeof routingSchema>>;
