import type { HistoryRecord } from "./history_record.ts";

/** Rules that a history can violate, with the names used in fault reports. */
export const violationKinds = {
  /** A token's index is lower than the next one expected. */
  tokenRepeated: "token_repeated",
  /** A token's index is higher than the next one expected. */
  tokenSkipped: "token_skipped",
  /** An answer continues with tokens of another generation. */
  otherGeneration: "other_generation",
  /** A token's text is not the one of its generation and index. */
  foreignAnswer: "foreign_answer",
  /** The caller treated an answer without an end marker as complete. */
  wholeWithoutEnd: "whole_without_end",
  /** A complete answer has another number of tokens than expected. */
  shortAnswer: "short_answer",
  /** A call ran although every attempt was answered as not run. */
  notRunThatRan: "not_run_that_ran",
  /** A call ran more than once. */
  doubleRun: "double_run",
  /** A service answered a call that no service ran. */
  answerWithoutRun: "answer_without_run",
  /** Two answers of a service to one key differ. */
  answerChanged: "answer_changed",
  /** A process reported a lower configuration version than before. */
  configurationReverted: "configuration_reverted",
  /** Less was charged than was incurred. */
  costLost: "cost_lost",
  /** More was charged than was incurred. */
  costDoubled: "cost_doubled",
  /** Work started at an upstream that no longer accepted any. */
  workOnLeaving: "work_on_leaving",
} as const;

/** Value of {@link violationKinds}. */
export type ViolationKind =
  (typeof violationKinds)[keyof typeof violationKinds];

/** A violation and the fewest records that prove it. */
export interface Violation {
  readonly kind: ViolationKind;
  /** Request, idempotency key, process, `class/unit` or upstream. */
  readonly subject: string;
  readonly trace: readonly HistoryRecord[];
}
