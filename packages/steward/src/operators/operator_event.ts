import type { Configuration, Statement } from "@lavenderferry/configuration";
import type { Failure } from "@lavenderferry/errors";
import type { Period } from "@lavenderferry/ledger";

/** A parsed operation that an operator requested. */
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
    /** `undefined`: the version before `to`. */
    readonly from: number | undefined;
    /** `undefined`: the newest version. */
    readonly to: number | undefined;
  }
  | { readonly kind: "read_costs"; readonly period: Period }
  | { readonly kind: "drain"; readonly vm: string }
  | { readonly kind: "read_status" }
  | { readonly kind: "explain"; readonly subject: string };

/** Requests of operators, and results of the effects that serve them. */
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
