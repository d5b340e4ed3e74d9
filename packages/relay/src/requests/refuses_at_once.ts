import type { Moment } from "@lavenderferry/runtime";
import type { RequestReceived } from "../relay_event.ts";
import type { Route } from "../routing/routing.ts";
import type { RelayState } from "../state.ts";
import { mayPlaceRequests } from "../upstreams/evacuations.ts";
import { isRoutingConfirmed } from "./unconfirmed_request.ts";

/** What the routing decides on. */
export type RequestHead = Pick<RequestReceived, "host" | "path" | "key">;

/** Whether routes, upstreams and evacuations are known. */
export function isReadyForRequests(state: RelayState): boolean {
  return state.routeTable !== null && state.upstreamsKnown &&
    mayPlaceRequests(state);
}

/** The route and the workspace of a request, or why the routing has none. */
export type Assignment =
  | { readonly route: Route; readonly workspace: string | null }
  | { readonly error: "not_found" | "unauthenticated" };

/** Looks up the route and the workspace of a request. */
export function assignRequest(
  { routeTable }: RelayState,
  { host, path, key }: RequestHead,
): Assignment {
  const route = routeTable?.findRoute(host, path);
  if (routeTable === null || route === undefined) {
    return { error: "not_found" };
  }
  const workspace = routeTable.findWorkspace(key ?? "") ?? null;
  return routeTable.requiresKeys && workspace === null && !route.keyless
    ? { error: "unauthenticated" }
    : { route, workspace };
}

/**
 * Whether a request is refused at once, whatever else it holds. One that waits for
 * the routing to be confirmed is not.
 */
export function refusesAtOnce(
  state: RelayState,
  head: RequestHead,
  at: Moment,
): boolean {
  return !isReadyForRequests(state) ||
    ("error" in assignRequest(state, head) && isRoutingConfirmed(state, at));
}
