import { longestOrderMs } from "@lavenderferry/fleet";
import type { Table } from "@lavenderferry/platform";
import type { EffectHandlers } from "@lavenderferry/runtime";
import { request } from "undici";
import { z } from "zod";
import type { StewardEvent } from "../events.ts";
import type { PlacementEffect } from "./placement_effect.ts";

const wantedSchema = z.object({ models: z.array(z.string()) });

/** Creates the handlers of the orders to engines. */
export function createPlacementHandlers(
  table: Table,
): EffectHandlers<StewardEvent, PlacementEffect> {
  return {
    read_placement: ({ pool }, dispatch) => {
      readWanted(table, pool).then(
        (models) => dispatch({ kind: "placement_read", pool, models }),
        () => dispatch({ kind: "placement_read", pool, models: null }),
      );
    },
    order_engine: ({ engine, address, fence, models }, dispatch) => {
      order(address, { fence, models }).then(
        (stated) =>
          dispatch({ kind: "engine_ordered", engine, fence, models: stated }),
        () => dispatch({ kind: "order_failed", engine }),
      );
    },
  };
}

async function readWanted(
  table: Table,
  pool: string,
): Promise<readonly string[] | null> {
  const [row] = await table.read([`placement/${pool}`], "configuration");
  const parsed = wantedSchema.safeParse(row?.value);
  return parsed.success ? parsed.data.models : null;
}

/** Sends the whole wanted state and returns what the engine states. */
async function order(
  address: string,
  body: { readonly fence: number; readonly models: readonly string[] },
): Promise<readonly string[]> {
  const response = await request(`http://${address}/v1/orders`, {
    method: "PUT",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(longestOrderMs),
  });
  const json = await response.body.json();
  if (response.statusCode !== 200) {
    throw new Error(`The engine answered with ${response.statusCode}`);
  }
  return wantedSchema.parse(json).models;
}
