// Configurations as the operator writes them.

export const host = "one.example";

export function route(name, change = {}) {
  return {
    name,
    host,
    prefix: `/${name}/`,
    kind: "non_idempotent",
    timeoutMs: 3_000,
    targetLatencyMs: 386,
    priority: 2,
    service: "desk",
    attempts: 2,
    public: false,
    ...change,
  };
}

export function modelRoute(name, change = {}) {
  return route(name, {
    kind: "streaming",
    service: "models",
    timeoutMs: 39_000,
    targetLatencyMs: 1_800,
    gapAimMs: 180,
    priority: 1,
    attempts: 1,
    stickySessions: true,
    resumable: false,
    ...change,
  });
}

export function config(version, change = {}) {
  return {
    version,
    routes: [
      route("book"),
      route("look", { kind: "idempotent" }),
      modelRoute("write"),
    ],
    services: [
      {
        name: "models",
        healthCheckPath: "/health",
        connectionLimit: 302,
        protocol: "h1",
        tls: false,
        engine: {
          slots: 32,
          kvCapacityTokens: 34_405,
          kvBytes: 96_256,
          linkMbps: 14_000,
          moves: true,
          backups: true,
          stride: 4,
          most: 12,
          pinMs: 4_000,
          holdMs: 2_000,
          handleS: 5,
          models: [{ name: "m" }],
        },
      },
      {
        name: "desk",
        healthCheckPath: "/health",
        connectionLimit: 100,
        protocol: "h1",
        tls: false,
      },
    ],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "clinic", apiKeys: ["key-1"], priority: 1 }],
    ...change,
  };
}
