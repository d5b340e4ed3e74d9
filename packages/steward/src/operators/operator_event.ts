import type { Configuration, Statement } from "@lavenderferry/configuration";
import type { Failure } from "@lavenderferry/errors";
import type { Period } from "@lavenderferry/ledger";

/** What an operator asks for. */
export type Operation =
  | { readonly kind: "read_configuration" }
  | {
    readonly kind: "apply";
    readonly ifVersion: number;
    readonly statement: Statement;
  }
  | { readonly kind: "read_history"; readonly after: number }
  | {
    readonly kind: "read_diff";
    readonly from: number | undefined;
    /** The newest version when it is left out. */
    readonly to: number | undefined;
  }
  | { readonly kind: "read_costs"; readonly period: Period }
  | { readonly kind: "drain"; readonly vm: string }
  | { readonly kind: "read_status" }
  | { readonly kind: "explain"; readonly subject: string };

/** Events of the operators' interface. */
export type OperatorEvent =
  | {
    readonly kind: "operator_requested";
    readonly replyId: string;
    readonly operator: string;
    readonly operation: Operation;
  }
  | {
    readonly kind: "change_accepted";
    readonly replyId: string;
    readonly configuration: Configuration;
  }
  | {
    readonly kind: "operation_done";
    readonly replyId: string;
    readonly body: object;
  }
  | {
    readonly kind: "operation_failed";
    readonly replyId: string;
    readonly failure: Failure;
    /** Members added to the problem details. */
    readonly details?: object;
  };
