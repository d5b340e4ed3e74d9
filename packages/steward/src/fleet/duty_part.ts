import type { DutyAction } from "@lavenderferry/fleet";
import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import type { StewardState } from "../state.ts";
import type { DutyEvent } from "./duty_event.ts";
import { writeConfigurationsAgain } from "./fleet_part.ts";

/** Milliseconds that a planned stop waits for leases to be released. */
const releaseTimeoutMs = 2_000;

/** Minimum milliseconds of a planned stop, for the peers to be notified. */
const minStopMs = 500;

/** Milliseconds to discover other members before duties are acquired. */
const joinDelayMs = 3_000;

/** Acquires, renews and releases leases of duties. */
export const dutyPart: EventHandlers<StewardState, DutyEvent, StewardEffect> = {
  lease_read: (state, { duty, row, era, at }) => {
    const effects = applyEra(state, era, at);
    state.duties.rowRead(duty, row, at);
    return [
      ...effects,
      ...recordDutyChange(state, duty, at),
      ...stepDuties(state, at),
    ];
  },
  lease_written: (state, { duty, result, era, at }) => {
    const effects = applyEra(state, era, at);
    state.duties.writeCompleted(duty, result, at);
    return [...effects, ...recordDutyChange(state, duty, at)];
  },
  lease_failed: (state, { duty, notRun, at }) => {
    state.duties.operationFailed(duty, notRun, at);
    return [];
  },
};

/** Repairs what the table has lost if it was restored from an older copy. */
function applyEra(
  state: StewardState,
  era: number,
  at: Moment,
): readonly StewardEffect[] {
  return state.duties.setEra(era, at) ? [writeConfigurationsAgain(state)] : [];
}

/** Returns the due operations on leases, and records duties lost by expiry. */
export function stepDuties(
  state: StewardState,
  at: Moment,
): readonly StewardEffect[] {
  if (
    state.firstVmListAt === null ||
    at.monotonic < state.firstVmListAt + joinDelayMs
  ) {
    return [];
  }
  const lostDuties = [...state.announcedFences].filter(([duty]) =>
    state.duties.dutyFence(duty, at) === null
  );
  const actions = state.duties.step({
    members: state.fleet.membership.all(),
    directory: state.fleet.duties,
    pools: state.pools,
  }, at);
  return [
    ...lostDuties.flatMap(([duty]) => recordDutyChange(state, duty, at)),
    ...actions.map(toEffect),
  ];
}

/** Starts to release all duties. */
export function releaseDuties(
  state: StewardState,
  at: Moment,
): readonly StewardEffect[] {
  state.releaseDeadline ??= at.monotonic + releaseTimeoutMs;
  state.duties.releaseAll();
  return stepDuties(state, at);
}

/** Returns whether a planned stop no longer has to wait for duties. */
export function dutiesReleased(
  { releaseDeadline, duties }: StewardState,
  at: Moment,
): boolean {
  if (releaseDeadline === null) {
    return false;
  }
  const peersNotified =
    at.monotonic >= releaseDeadline - releaseTimeoutMs + minStopMs;
  return at.monotonic >= releaseDeadline || (peersNotified && duties.released);
}

/** Records and announces that this process acquired or gave up a duty. */
function recordDutyChange(
  state: StewardState,
  duty: string,
  at: Moment,
): readonly StewardEffect[] {
  const announcedFence = state.announcedFences.get(duty) ?? null;
  const fence = state.duties.dutyFence(duty, at);
  if (fence === announcedFence) {
    return [];
  }
  const reason = fence === null ? "given_up" : "acquired";
  const figures = { fence: fence ?? announcedFence ?? 0 };
  state.decisions.add({
    kind: "lease",
    subject: duty,
    reason,
    figures,
    at: at.wall,
  });
  if (fence === null) {
    state.announcedFences.delete(duty);
  } else {
    state.announcedFences.set(duty, fence);
  }
  const holder = fence === null ? "" : state.settings.vm;
  state.fleet.setDuty({ duty, holder, fence: figures.fence }, at);
  return [
    {
      kind: "log",
      part: "duties",
      sentence: "Duty holder changed",
      fields: { duty, reason },
    },
  ];
}

function toEffect({ duty, action }: DutyAction): StewardEffect {
  return action.kind === "read"
    ? { kind: "read_lease", duty, key: action.key }
    : { kind: "write_lease", duty, write: action.write };
}
