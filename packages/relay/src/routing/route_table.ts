import type { Route, Routing } from "./routing.ts";

/** Index of one version of the routing by host, path prefix and key. */
export class RouteTable {
  readonly routing: Routing;
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #workspacesByKey = new Map<string, string>();

  constructor(routing: Routing) {
    this.routing = routing;
    for (const route of routing.routes) {
      const routes = this.#routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.#routesByHost.set(route.host, routes);
    }
    for (const routes of this.#routesByHost.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
    for (const { name, keys } of routing.workspaces ?? []) {
      for (const key of keys) {
        this.#workspacesByKey.set(key, name);
      }
    }
  }

  /** Returns the route of a host with the longest matching path prefix. */
  findRoute(host: string, path: string): Route | undefined {
    return this.#routesByHost.get(host)?.find(({ prefix }) =>
      path.startsWith(prefix)
    );
  }

  /** Whether requests must carry the key of a workspace. */
  get requiresKeys(): boolean {
    return this.routing.workspaces !== null;
  }

  /** Returns the name of the workspace that a key belongs to. */
  findWorkspace(key: string): string | undefined {
    return this.#workspacesByKey.get(key);
  }
}
