import { maxOrderFlightMs } from "@lavenderferry/fleet";
import type { Table } from "@lavenderferry/platform";
import type { EffectHandlers } from "@lavenderferry/runtime";
import { request } from "undici";
import { z } from "zod";
import type { StewardEvent } from "../events.ts";
import type { PlacementEffect } from "./placement_effect.ts";

const modelsSchema = z.object({ models: z.array(z.string()) });

/** Creates the handlers of reads of desired models and orders to engines. */
export function createPlacementHandlers(
  table: Table,
): EffectHandlers<StewardEvent, PlacementEffect> {
  return {
    read_placement: ({ pool }, dispatch) => {
      readDesiredModels(table, pool).then(
        (models) => dispatch({ kind: "placement_read", pool, models }),
        () => dispatch({ kind: "placement_read", pool, models: null }),
      );
    },
    order_engine: ({ engine, address, fence, models }, dispatch) => {
      sendOrder(address, { fence, models }).then(
        (reportedModels) =>
          dispatch({
            kind: "engine_ordered",
            engine,
            fence,
            models: reportedModels,
          }),
        () => dispatch({ kind: "order_failed", engine }),
      );
    },
  };
}

async function readDesiredModels(
  table: Table,
  pool: string,
): Promise<readonly string[] | null> {
  const [row] = await table.read([`placement/${pool}`], "configuration");
  const parsed = modelsSchema.safeParse(row?.value);
  return parsed.success ? parsed.data.models : null;
}

/** Sends all desired models and returns those that the engine reports. */
async function sendOrder(
  address: string,
  body: { readonly fence: number; readonly models: readonly string[] },
): Promise<readonly string[]> {
  const response = await request(`http://${address}/v1/orders`, {
    method: "PUT",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(maxOrderFlightMs),
  });
  const json = await response.body.json();
  if (response.statusCode !== 200) {
    throw new Error(
      `The engine answered the order with status ${response.statusCode}`,
    );
  }
  return modelsSchema.parse(json).models;
}
