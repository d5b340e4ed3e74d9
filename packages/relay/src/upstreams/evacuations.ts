import type { Pool, RelayState } from "../state.ts";

/** Reason why the upstreams of a data centre under evacuation are closed. */
export const evacuatedReason = "evacuated";

/**
 * Whether this process may place requests: it knows which data centres are under
 * evacuation, or cannot learn that from the store. Older builds among its peers
 * tell it of the routing, but not of evacuations.
 */
export function mayPlaceRequests(
  { fleet, reads, settings }: Pick<RelayState, "fleet" | "reads" | "settings">,
): boolean {
  return settings.evacuationBoundMs === null || fleet.evacuations.isKnown ||
    reads.routing.failures > 0;
}

/**
 * Monotonic milliseconds at which both the routing and the evacuations, which are
 * read together, were last known to be those of the store.
 */
export function routingConfirmedAt(
  { fleet, settings }: Pick<RelayState, "fleet" | "settings">,
): number {
  const { configurationConfirmedAt, evacuations } = fleet;
  return settings.evacuationBoundMs === null
    ? configurationConfirmedAt
    : Math.min(configurationConfirmedAt, evacuations.confirmedAt);
}

/** Whether an upstream is in a data centre under evacuation. */
export function isEvacuated(
  { fleet, upstreams }: Pick<RelayState, "fleet" | "upstreams">,
  id: string,
): boolean {
  const dataCentre = upstreams.get(id)?.dataCentre;
  return dataCentre !== undefined &&
    fleet.evacuations.dataCentres.has(dataCentre);
}

/**
 * Whether an upstream has ended or is about to, so that what it runs cannot stay.
 * One that is only evacuated finishes what it runs.
 */
export function isDeparting(
  { closeReasons, upstreams }: Pick<RelayState, "closeReasons" | "upstreams">,
  id: string,
): boolean {
  return upstreams.get(id)?.state !== "live" ||
    isDeparture(closeReasons.get(id));
}

/** Whether the reason for which an upstream is closed is its own departure. */
export function isDeparture(reason: string | undefined): boolean {
  return reason !== undefined && reason !== evacuatedReason;
}

/**
 * Whether a service has no upstream left but those of data centres under
 * evacuation and leaving ones, so that waiting for one is of no use.
 */
export function isStranded(
  { closeReasons, upstreams }: Pick<RelayState, "closeReasons" | "upstreams">,
  { openUpstreams, service }: Pool,
): boolean {
  if (openUpstreams.size > 0) {
    return false;
  }
  const reasons = [...upstreams.values()]
    .filter(({ pool }) => pool === service.name)
    .map(({ id }) => closeReasons.get(id));
  return reasons.includes(evacuatedReason) && !reasons.includes(undefined);
}
