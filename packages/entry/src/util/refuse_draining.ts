import type { NotRun } from "@lavenderferry/errors";
import { listAddresses } from "@lavenderferry/fleet";
import type { Moment } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import { failRequest } from "./effects.ts";

const retryAfterMs = 1_000;
const maxRotation = 1_024;

/** Refuses a request while this entry drains; names the other entries. */
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
  return failRequest({
    readerId,
    requestId,
    error: "draining",
    notRun,
    retryAfterMs,
    addresses: otherAddresses(state, at),
  });
}

/** Lists the addresses of the other live entries, in a random rotation. */
export function otherAddresses(
  state: EntryState,
  at: Moment,
): readonly string[] {
  const { vm, dataCentre } = state.settings;
  const others = state.fleet.membership.all().filter(({ id }) => id !== vm);
  const rotation = state.random.integerBelow(maxRotation);
  return listAddresses(others, { dataCentre, rotation, wall: at.wall })
    .addresses;
}
