import type { CommitResult, Row } from "@lavenderferry/platform";

/** Results of operations on the rows of leases. */
export type DutyEvent =
  | {
    readonly kind: "lease_read";
    readonly duty: string;
    readonly row: Row | null;
  }
  | {
    readonly kind: "lease_written";
    readonly duty: string;
    readonly result: CommitResult;
  }
  | {
    readonly kind: "lease_failed";
    readonly duty: string;
    /** Whether the operation is known not to have taken effect. */
    readonly notRun: boolean;
  };
