import type { NotRun } from "@lavenderferry/errors";
import { listAddresses } from "@lavenderferry/fleet";
import type { Moment } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import { fail } from "./effects.ts";

const retryAfterMs = 1_000;
const maxTurn = 1_024;

/** Refuses a request while this entry stops and names the other entries. */
export function refuseDraining(
  state: EntryState,
  request: {
    readonly readerId: string;
    readonly requestId: string;
    readonly notRun?: NotRun;
  },
  at: Moment,
): readonly EntryEffect[] {
  const { readerId, requestId, notRun = true } = request;
  return fail({
    readerId,
    requestId,
    error: "draining",
    notRun,
    retryAfterMs,
    addresses: otherAddresses(state, at),
  });
}

/** Addresses of the live entries without this one. */
export function otherAddresses(
  state: EntryState,
  at: Moment,
): readonly string[] {
  const { vm, dataCentre } = state.settings;
  const others = state.fleet.membership.all().filter(({ id }) => id !== vm);
  const turn = state.random.below(maxTurn);
  return listAddresses(others, { dataCentre, turn, wall: at.wall }).addresses;
}
