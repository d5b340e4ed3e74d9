import { groupBy } from "./group_by.ts";
import type { HistoryRecord, RecordOf } from "./history_record.ts";
import type { Violation } from "./violation.ts";

type AnswerRecord = RecordOf<"call_answered">;
type RunRecord = RecordOf<"call_run">;

/** Checks that each call ran at most once and that no answer contradicts it. */
export function checkCalls(
  records: readonly HistoryRecord[],
): readonly Violation[] {
  const runsByKey = groupBy(records, "call_run", ({ key }) => key);
  const answersByKey = groupBy(records, "call_answered", ({ key }) => key);
  const violations: Violation[] = [];
  for (const [subject, keyRuns] of runsByKey) {
    if (keyRuns.length > 1) {
      const trace = keyRuns.slice(0, 2);
      violations.push({ kind: "double_run", subject, trace });
    }
  }
  for (const [subject, answers] of answersByKey) {
    violations.push(
      ...checkAnswers(subject, answers, runsByKey.get(subject) ?? []),
    );
  }
  return violations;
}

/**
 * `notRun: true` covers one attempt only; another attempt with the same key may
 * run the call. It is a violation if every attempt was answered so although the
 * call ran. All answers of the service to one key must be equal.
 */
function checkAnswers(
  subject: string,
  answers: readonly AnswerRecord[],
  runs: readonly RunRecord[],
): readonly Violation[] {
  const violations: Violation[] = [];
  const [firstRun] = runs;
  if (
    firstRun !== undefined && answers.every(({ notRun }) => notRun === true)
  ) {
    const trace = [...answers.slice(0, 1), firstRun];
    violations.push({ kind: "not_run_that_ran", subject, trace });
  }
  const serviceAnswers = answers.filter((answer) => answer.fromService);
  const [firstAnswer] = serviceAnswers;
  if (firstAnswer !== undefined && firstRun === undefined) {
    violations.push({
      kind: "answer_without_run",
      subject,
      trace: [firstAnswer],
    });
  }
  const changedAnswer = serviceAnswers.find(({ status, body }) =>
    status !== firstAnswer?.status || body !== firstAnswer.body
  );
  if (firstAnswer !== undefined && changedAnswer !== undefined) {
    const trace = [firstAnswer, changedAnswer];
    violations.push({ kind: "answer_changed", subject, trace });
  }
  return violations;
}
