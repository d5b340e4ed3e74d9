import type { HistoryRecord } from "./history_record.ts";

/** What a history may show to be broken. */
export const violationKinds = {
  tokenRepeated: "token_repeated",
  tokenSkipped: "token_skipped",
  otherGeneration: "other_generation",
  foreignAnswer: "foreign_answer",
  wholeWithoutEnd: "whole_without_end",
  shortAnswer: "short_answer",
  notRunThatRan: "not_run_that_ran",
  doubleRun: "double_run",
  answerWithoutRun: "answer_without_run",
  answerChanged: "answer_changed",
  configurationReverted: "configuration_reverted",
  costLost: "cost_lost",
  costDoubled: "cost_doubled",
  workOnLeaving: "work_on_leaving",
} as const;

/** One of the kinds of violations. */
export type ViolationKind =
  (typeof violationKinds)[keyof typeof violationKinds];

/** One violation with the fewest records that show it. */
export interface Violation {
  readonly kind: ViolationKind;
  /** Request, key, process, class or upstream that it concerns. */
  readonly subject: string;
  readonly trace: readonly HistoryRecord[];
}
