import type { RequestPriority } from "@lavenderferry/policy";
import { UrgencyRanks } from "@lavenderferry/policy";
import type { Route, Routing } from "./routing.ts";

/** Index of one version of the routing by host, path prefix and key. */
export class RouteTable {
  readonly routing: Routing;
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #workspacesByKey = new Map<string, string>();
  readonly #priorityByWorkspace = new Map<string, number>();
  readonly #urgencyRanks: UrgencyRanks;

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
