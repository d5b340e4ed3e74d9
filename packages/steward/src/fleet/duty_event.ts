import type { CommitResult, Row } from "@lavenderferry/platform";

/** Results of operations on the rows of leases. */
export type DutyEvent =
  | {
    readonly kind: "lease_read";
    readonly duty: string;
    readonly row: Row | null;
    /** Era of the table. */
    readonly era: number;
  }
  | {
    readonly kind: "lease_written";
    readonly duty: string;
    readonly result: CommitResult;
    /** Era of the table. */
    readonly era: number;
  }
  | {
    readonly kind: "lease_failed";
    readonly duty: string;
    /** Whether the operation is known not to have taken effect. */
    readonly notRun: boolean;
  };
