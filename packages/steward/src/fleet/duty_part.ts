import type { DutyAction } from "@lavenderferry/fleet";
import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import type { StewardState } from "../state.ts";
import type { DutyEvent } from "./duty_event.ts";

/** Milliseconds after which a planned stop waits for no release any more. */
const releaseMs = 2_000;

/** Milliseconds that a planned stop takes at least, to tell the peers. */
const farewellMs = 500;

/** Milliseconds in which a new process learns of others before it takes. */
const joinMs = 3_000;

/** Takes, renews and gives up duties. */
export const dutyPart: EventHandlers<StewardState, DutyEvent, StewardEffect> = {
  lease_read: (state, { duty, row, at }) => {
    state.duties.read(duty, row, at);
    return [...noteDuty(state, duty, at), ...stepDuties(state, at)];
  },
  lease_written: (state, { duty, result, at }) => {
    state.duties.written(duty, result, at);
    return noteDuty(state, duty, at);
  },
  lease_failed: (state, { duty, notRun, at }) => {
    state.duties.failed(duty, notRun, at);
    return [];
  },
};

/** Returns the operations on leases that are due. */
export function stepDuties(
  state: StewardState,
  at: Moment,
): readonly StewardEffect[] {
  if (state.joinedAt === null || at.monotonic < state.joinedAt + joinMs) {
    return [];
  }
  const lost = [...state.holding].filter(([duty]) =>
    state.duties.dutyFence(duty, at) === null
  );
  const actions = state.duties.step({
    members: state.fleet.membership.all(),
    directory: state.fleet.duties,
    pools: state.pools,
  }, at);
  return [
    ...lost.flatMap(([duty]) => noteDuty(state, duty, at)),
    ...actions.map(toEffect),
  ];
}

/** Gives up all duties. */
export function stopDuties(
  state: StewardState,
  at: Moment,
): readonly StewardEffect[] {
  state.stopAt ??= at.monotonic + releaseMs;
  state.duties.leave();
  return stepDuties(state, at);
}

/** Returns whether a stopping process has given up its duties. */
export function dutiesGivenUp(
  { stopAt, duties }: StewardState,
  at: Moment,
): boolean {
  if (stopAt === null) {
    return false;
  }
  const told = at.monotonic >= stopAt - releaseMs + farewellMs;
  return at.monotonic >= stopAt || (told && duties.released);
}

/** Tells the fleet, the log and the decisions who holds a duty now. */
function noteDuty(
  state: StewardState,
  duty: string,
  at: Moment,
): readonly StewardEffect[] {
  const known = state.holding.get(duty) ?? null;
  const fence = state.duties.dutyFence(duty, at);
  if (fence === known) {
    return [];
  }
  const reason = fence === null ? "given_up" : "acquired";
  const figures = { fence: fence ?? known ?? 0 };
  state.decisions.add({
    kind: "lease",
    subject: duty,
    reason,
    figures,
    at: at.wall,
  });
  if (fence === null) {
    state.holding.delete(duty);
  } else {
    state.holding.set(duty, fence);
  }
  const holder = fence === null ? "" : state.settings.vm;
  state.fleet.setDuty({ duty, holder, fence: figures.fence }, at);
  return [
    {
      kind: "log",
      part: "duties",
      sentence: "A duty moved",
      fields: { duty, reason },
    },
  ];
}

function toEffect({ duty, action }: DutyAction): StewardEffect {
  return action.kind === "read"
    ? { kind: "read_lease", duty, key: action.key }
    : { kind: "write_lease", duty, write: action.write };
}
