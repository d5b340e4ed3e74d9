import { groupBy } from "./group_by.ts";
import type { HistoryRecord, RecordOf } from "./history_record.ts";
import type { Violation } from "./violation.ts";

type Answered = RecordOf<"call_answered">;
type Run = RecordOf<"call_run">;

/** Checks that each call ran at most once and that its answers tell it. */
export function checkCalls(
  records: readonly HistoryRecord[],
): readonly Violation[] {
  const runs = groupBy(records, "call_run", ({ key }) => key);
  const answers = groupBy(records, "call_answered", ({ key }) => key);
  const violations: Violation[] = [];
  for (const [subject, run] of runs) {
    if (run.length > 1) {
      const trace = run.slice(0, 2);
      violations.push({ kind: "double_run", subject, trace });
    }
  }
  for (const [subject, answered] of answers) {
    violations.push(
      ...checkAnswers(subject, answered, runs.get(subject) ?? []),
    );
  }
  return violations;
}

/**
 * "Not run" speaks of one attempt; the key may run by another attempt. It is
 * broken when every attempt was answered "not run" and the call ran.
 */
function checkAnswers(
  subject: string,
  answered: readonly Answered[],
  runs: readonly Run[],
): readonly Violation[] {
  const violations: Violation[] = [];
  const [run] = runs;
  if (run !== undefined && answered.every(({ notRun }) => notRun === true)) {
    const trace = [...answered.slice(0, 1), run];
    violations.push({ kind: "not_run_that_ran", subject, trace });
  }
  const fromService = answered.filter((each) => each.fromService);
  const [first] = fromService;
  if (first !== undefined && run === undefined) {
    violations.push({ kind: "answer_without_run", subject, trace: [first] });
  }
  const changed = fromService.find(({ status, body }) =>
    status !== first?.status || body !== first.body
  );
  if (first !== undefined && changed !== undefined) {
    const trace = [first, changed];
    violations.push({ kind: "answer_changed", subject, trace });
  }
  return violations;
}
