import type { Route, Routing } from "./routing.ts";

/** One version of the routing, arranged for look-ups. */
export class RouteTable {
  readonly routing: Routing;
  readonly #hosts = new Map<string, Route[]>();
  readonly #workspaces = new Map<string, string>();

  constructor(routing: Routing) {
    this.routing = routing;
    for (const route of routing.routes) {
      const routes = this.#hosts.get(route.host) ?? [];
      routes.push(route);
      this.#hosts.set(route.host, routes);
    }
    for (const routes of this.#hosts.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
    for (const { name, keys } of routing.workspaces ?? []) {
      for (const key of keys) {
        this.#workspaces.set(key, name);
      }
    }
  }

  /** Returns the route with the longest prefix of the path. */
  find(host: string, path: string): Route | undefined {
    return this.#hosts.get(host)?.find(({ prefix }) => path.startsWith(prefix));
  }

  /** Whether requests carry the keys of workspaces. */
  get keyed(): boolean {
    return this.routing.workspaces !== null;
  }

  /** Returns the workspace that holds a key. */
  workspaceOf(key: string): string | undefined {
    return this.#workspaces.get(key);
  }
}
