import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import type { ConfirmedOrder, StewardState } from "../state.ts";
import type { PlacementEvent } from "./placement_event.ts";

/** Milliseconds between two reads of the desired models of the pools. */
const placementReadMs = 5_000;

/** Milliseconds after which an unchanged order is sent again. */
const orderResendMs = 30_000;

/** Orders engines to serve their pool's models, under the pool's duty. */
export const placementPart: EventHandlers<
  StewardState,
  PlacementEvent,
  StewardEffect
> = {
  placement_read: (state, { pool, models, at }) => {
    const fence = state.duties.dutyFence(placementDuty(pool), at);
    return models === null || fence === null
      ? []
      : orderEngines(state, { pool, models, fence, at });
  },
  engine_ordered: (state, { engine, fence, models, at }) => {
    const resendAt = at.monotonic + orderResendMs;
    state.confirmedOrders.set(engine, {
      fence,
      models: models.join(),
      resendAt,
    });
    const figures = { fence, models: models.join() };
    state.decisions.add({
      kind: "order",
      subject: engine,
      reason: "ordered",
      figures,
      at: at.wall,
    });
    return [];
  },
  order_failed: (state, { engine }) => {
    state.confirmedOrders.delete(engine);
    return [];
  },
};

/** Returns the due reads of desired models, for pools whose duty is held. */
export function stepPlacement(
  state: StewardState,
  at: Moment,
): readonly StewardEffect[] {
  if (at.monotonic < state.nextPlacementReadAt) {
    return [];
  }
  state.nextPlacementReadAt = at.monotonic +
    state.random.jitter(placementReadMs, 0.2);
  return state.pools
    .filter((pool) => state.duties.dutyFence(placementDuty(pool), at) !== null)
    .map((pool) => ({ kind: "read_placement", pool }));
}

interface PoolOrder {
  readonly pool: string;
  readonly models: readonly string[];
  readonly fence: number;
  readonly at: Moment;
}

function orderEngines(
  state: StewardState,
  { pool, models, fence, at }: PoolOrder,
): readonly StewardEffect[] {
  return state.vms
    .filter((vm) =>
      vm.role === "engine" && vm.pool === pool && vm.state === "live" &&
      state.duties.maySendOrders(placementDuty(pool), at, vm.checksFence) &&
      !isConfirmed(state.confirmedOrders.get(vm.id), { models, fence, at })
    )
    .map(({ id: engine, address }) => ({
      kind: "order_engine",
      engine,
      address,
      fence,
      models,
    }));
}

function isConfirmed(
  confirmed: ConfirmedOrder | undefined,
  { models, fence, at }: Omit<PoolOrder, "pool">,
): boolean {
  return confirmed?.fence === fence && confirmed.models === models.join() &&
    at.monotonic < confirmed.resendAt;
}

function placementDuty(pool: string): string {
  return `placement/${pool}`;
}
