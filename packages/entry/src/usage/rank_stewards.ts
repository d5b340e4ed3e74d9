import type { Vm } from "@lavenderferry/platform";
import { rankByRendezvous } from "@lavenderferry/runtime";

/** A live steward with a peer address. */
export interface Steward {
  readonly id: string;
  readonly dataCentre: string;
  readonly peerAddress: string;
}

/**
 * Orders the live stewards with a peer address by rendezvous hashing, so that
 * all processes prefer the same steward for the same key.
 */
export function rankStewards(
  vms: ReadonlyMap<string, Vm>,
  key: string,
): readonly Steward[] {
  const stewards = [...vms.values()].flatMap(
    ({ id, role, state, dataCentre, peers }) =>
      role === "steward" && state === "live" && peers !== undefined
        ? [{ id, dataCentre, peerAddress: peers }]
        : [],
  );
  return rankByRendezvous(key, stewards);
}
