import type { EntryState } from "../state.ts";

/**
 * Whether the VMs and the configuration are known and a version is in force,
 * unless none exists yet. A process that has just started may know only a
 * version that takes effect later.
 */
export function isReady(state: EntryState, wall: number): boolean {
  const { timeline, configurationKnown, vmsKnown } = state;
  const inForce = timeline.latest.version === 0 ||
    timeline.at(wall).version > 0;
  return configurationKnown && vmsKnown && inForce;
}
