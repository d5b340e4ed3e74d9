import { groupBy } from "./group_by.ts";
import type { HistoryRecord, RecordOf } from "./history_record.ts";
import type { Violation } from "./violation.ts";

type TokenRead = RecordOf<"token_read">;

/** Checks that each answer has one generation's tokens, each once, in order. */
export function checkStreams(
  records: readonly HistoryRecord[],
): readonly Violation[] {
  const violations: Violation[] = [];
  const tokensByRequest = groupBy(
    records,
    "token_read",
    ({ request }) => request,
  );
  for (const [subject, requestTokens] of tokensByRequest) {
    violations.push(...checkTokens(subject, requestTokens));
  }
  const endsByRequest = groupBy(
    records,
    "answer_ended",
    ({ request }) => request,
  );
  for (const [subject, requestEnds] of endsByRequest) {
    for (const end of requestEnds) {
      violations.push(...checkEnd(subject, end));
    }
  }
  return violations;
}

function checkTokens(
  subject: string,
  tokens: readonly TokenRead[],
): readonly Violation[] {
  const violations: Violation[] = [];
  let previous: TokenRead | undefined;
  for (const token of tokens) {
    if (token.text !== token.expected) {
      violations.push({ kind: "foreign_answer", subject, trace: [token] });
    }
    violations.push(...checkOrder(subject, previous, token));
    previous = token;
  }
  return violations;
}

function checkOrder(
  subject: string,
  previous: TokenRead | undefined,
  token: TokenRead,
): readonly Violation[] {
  const trace = previous === undefined ? [token] : [previous, token];
  if (previous !== undefined && previous.generation !== token.generation) {
    return [{ kind: "other_generation", subject, trace }];
  }
  const expectedIndex = (previous?.index ?? -1) + 1;
  if (token.index === expectedIndex) {
    return [];
  }
  const kind = token.index < expectedIndex ? "token_repeated" : "token_skipped";
  return [{ kind, subject, trace }];
}

function checkEnd(
  subject: string,
  end: RecordOf<"answer_ended">,
): readonly Violation[] {
  if (!end.whole) {
    return [];
  }
  if (!end.marked) {
    return [{ kind: "whole_without_end", subject, trace: [end] }];
  }
  return end.tokens === end.expectedTokens
    ? []
    : [{ kind: "short_answer", subject, trace: [end] }];
}
