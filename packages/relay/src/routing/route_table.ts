import type { RequestPriority } from "@lavenderferry/policy";
import { UrgencyRanks } from "@lavenderferry/policy";
import type { Route, Routing } from "./routing.ts";

/** Routes of one host, of which thousands may differ in a part of the path. */
class HostRoutes {
  readonly #byPrefix = new Map<string, Route>();
  /** Lengths of the prefixes, the longest first. */
  readonly #lengths: number[] = [];

  /** Adds a route, unless an earlier one has the same prefix. */
  add(route: Route): void {
    const { prefix } = route;
    if (!this.#byPrefix.has(prefix)) {
      this.#byPrefix.set(prefix, route);
    }
    if (!this.#lengths.includes(prefix.length)) {
      this.#lengths.push(prefix.length);
      this.#lengths.sort((a, b) => b - a);
    }
  }

  /** Returns the route with the longest prefix of a path. */
  find(path: string): Route | undefined {
    for (const length of this.#lengths) {
      const route = length <= path.length
        ? this.#byPrefix.get(path.slice(0, length))
        : undefined;
      if (route !== undefined) {
        return route;
      }
    }
    return undefined;
  }
}

/** Index of one version of the routing by host, path prefix and key. */
export class RouteTable {
  readonly routing: Routing;
  readonly #hosts = new Map<string, HostRoutes>();
  readonly #workspacesByKey = new Map<string, string>();
  readonly #priorityByWorkspace = new Map<string, number>();
  readonly #urgencyRanks: UrgencyRanks;

  constructor(routing: Routing) {
    this.routing = routing;
    for (const route of routing.routes) {
      const routes = this.#hosts.get(route.host) ?? new HostRoutes();
      routes.add(route);
      this.#hosts.set(route.host, routes);
    }
    for (const { name, keys, priority } of routing.workspaces ?? []) {
      for (const key of keys) {
        this.#workspacesByKey.set(key, name);
      }
      if (priority !== undefined) {
        this.#priorityByWorkspace.set(name, priority);
      }
    }
    this.#urgencyRanks = new UrgencyRanks(this.#listPriorities());
  }

  /** Returns the route of a host with the longest matching path prefix. */
  findRoute(host: string, path: string): Route | undefined {
    return this.#hosts.get(host)?.find(path);
  }

  /** Whether requests must carry the key of a workspace. */
  get requiresKeys(): boolean {
    return this.routing.workspaces !== null;
  }

  /** Returns the name of the workspace that a key belongs to. */
  findWorkspace(key: string): string | undefined {
    return this.#workspacesByKey.get(key);
  }

  /**
   * Returns how urgent a generation is to engines, 1 being the most urgent;
   * `null` if all generations are equally urgent.
   */
  urgencyOf(route: Route, workspace: string | null): number | null {
    return this.#urgencyRanks.urgencyOf({
      workspace: this.#priorityByWorkspace.get(workspace ?? "") ?? null,
      route: route.priority,
    });
  }

  /** Lists the priorities that generations may have. */
  #listPriorities(): readonly RequestPriority[] {
    const { routes, services, workspaces } = this.routing;
    const engineServices = new Set(
      services.filter(({ engines }) => engines !== null)
        .map(({ name }) => name),
    );
    const routePriorities = new Set(
      routes.filter((route) =>
        route.services.some(({ service }) => engineServices.has(service))
      ).map(({ priority }) => priority),
    );
    const workspacePriorities = new Set<number | null>(
      workspaces?.map(({ priority }) => priority ?? null) ?? [],
    );
    if (routes.some(({ keyless }) => keyless) || workspaces === null) {
      workspacePriorities.add(null);
    }
    return [...workspacePriorities].flatMap((workspace) =>
      [...routePriorities].map((route) => ({ workspace, route }))
    );
  }
}
