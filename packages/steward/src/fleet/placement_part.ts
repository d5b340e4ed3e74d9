import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import type { Ordered, StewardState } from "../state.ts";
import type { PlacementEvent } from "./placement_event.ts";

/** Milliseconds between two readings of a pool's wanted models. */
const placementMs = 5_000;

/** Milliseconds after which the wanted state is stated again. */
const restateMs = 30_000;

/** Orders engines to serve what their pool should, under the pool's duty. */
export const placementPart: EventHandlers<
  StewardState,
  PlacementEvent,
  StewardEffect
> = {
  placement_read: (state, { pool, models, at }) => {
    const fence = state.duties.dutyFence(dutyOf(pool), at);
    return models === null || fence === null
      ? []
      : orderEngines(state, { pool, models, fence, at });
  },
  engine_ordered: (state, { engine, fence, models, at }) => {
    const until = at.monotonic + restateMs;
    state.ordered.set(engine, { fence, models: models.join(), until });
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
    state.ordered.delete(engine);
    return [];
  },
};

/** Returns the readings of wanted models that are due. */
export function stepPlacement(
  state: StewardState,
  at: Moment,
): readonly StewardEffect[] {
  if (at.monotonic < state.placementAt) {
    return [];
  }
  state.placementAt = at.monotonic + state.random.jitter(placementMs, 0.2);
  return state.pools
    .filter((pool) => state.duties.dutyFence(dutyOf(pool), at) !== null)
    .map((pool) => ({ kind: "read_placement", pool }));
}

interface Wish {
  readonly pool: string;
  readonly models: readonly string[];
  readonly fence: number;
  readonly at: Moment;
}

function orderEngines(
  state: StewardState,
  { pool, models, fence, at }: Wish,
): readonly StewardEffect[] {
  return state.vms
    .filter((vm) =>
      vm.role === "engine" && vm.pool === pool && vm.state === "live" &&
      state.duties.mayOrder(dutyOf(pool), at, vm.checksFence) &&
      !isOrdered(state.ordered.get(vm.id), { models, fence, at })
    )
    .map(({ id: engine, address }) => ({
      kind: "order_engine",
      engine,
      address,
      fence,
      models,
    }));
}

function isOrdered(
  known: Ordered | undefined,
  { models, fence, at }: Omit<Wish, "pool">,
): boolean {
  return known?.fence === fence && known.models === models.join() &&
    at.monotonic < known.until;
}

function dutyOf(pool: string): string {
  return `placement/${pool}`;
}
