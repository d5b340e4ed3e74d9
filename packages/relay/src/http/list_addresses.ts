import type { Member } from "@lavenderferry/fleet";
import { listEntries } from "@lavenderferry/fleet";
import type { RelayState } from "../state.ts";
import type { AddressChecks } from "./address_checks.ts";

/**
 * Live members that a data centre must have for its callers to get only the
 * addresses of these members.
 */
const minNearMembers = 2;

/** What an answer with addresses depends on. */
export interface AddressOptions {
  /** Data centre of the caller; empty if it is not known. */
  readonly dataCentre: string;
  /** Grows with every answer, so that callers start at different entries. */
  readonly rotation: number;
  readonly checks: AddressChecks;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/**
 * Lists the addresses for a caller: those of its data centre while that has
 * enough live members, otherwise those of all data centres. Where processes do
 * not exchange with all others, those that cannot be reached are left out; if none
 * can be, this process lists itself.
 */
export async function listAddresses(
  state: RelayState,
  { dataCentre, rotation, checks, now }: AddressOptions,
): Promise<readonly string[]> {
  if (!state.membersKnown || state.routeTable === null) {
    return [];
  }
  const members = state.fleet.membership.all();
  const near = members.filter((member) =>
    member.dataCentre === dataCentre && member.state === "live"
  );
  const query = { dataCentre, rotation };
  const first = listEntries(
    near.length >= minNearMembers ? near : members,
    query,
  );
  const reached = await leaveOutEnded(state, first, { checks, now });
  // All relays of the caller's data centre may have ended together.
  const rest = members.filter((member) => !first.includes(member));
  const others = reached.length > 0
    ? []
    : await leaveOutEnded(state, listEntries(rest, query), { checks, now });
  const { self } = state.fleet.membership;
  const known = self.state === "live" && self.address !== "" ? [self] : first;
  const entries = [reached, others, known].find(({ length }) => length > 0);
  return (entries ?? []).map(({ address }) => address);
}

async function leaveOutEnded(
  { fleet, settings }: RelayState,
  entries: readonly Member[],
  { checks, now }: Pick<AddressOptions, "checks" | "now">,
): Promise<readonly Member[]> {
  if (fleet.exchangesWithAll) {
    return entries;
  }
  const others = entries.filter(({ id }) => id !== settings.vm);
  const reachable = new Set(await checks.filterReachable(others, now));
  return entries.filter((entry) =>
    entry.id === settings.vm || reachable.has(entry)
  );
}
