import type { Write } from "@lavenderferry/platform";

/** Operations on the rows of leases. */
export type DutyEffect =
  | {
    readonly kind: "read_lease";
    readonly duty: string;
    readonly key: string;
  }
  | {
    readonly kind: "write_lease";
    readonly duty: string;
    readonly write: Write;
  };
