import type { DocumentFormat } from "@lavenderferry/fleet";
import { itemSchemas, routingHeadSchema } from "./routing.ts";

/** How a routing is divided for its transfer between relays. */
export const routingFormat: DocumentFormat = {
  lists: Object.keys(itemSchemas),
  readHead: (value) => routingHeadSchema.safeParse(value).data ?? null,
  readItem: (list, value) =>
    list in itemSchemas
      ? itemSchemas[list as keyof typeof itemSchemas].safeParse(value).data ??
        null
      : null,
};
