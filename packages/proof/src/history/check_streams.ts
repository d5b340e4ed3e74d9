import { groupBy } from "./group_by.ts";
import type { HistoryRecord, RecordOf } from "./history_record.ts";
import type { Violation } from "./violation.ts";

type TokenRead = RecordOf<"token_read">;

/** Checks that each answer is one generation's tokens, once and in order. */
export function checkStreams(
  records: readonly HistoryRecord[],
): readonly Violation[] {
  const violations: Violation[] = [];
  const tokens = groupBy(records, "token_read", ({ request }) => request);
  for (const [subject, read] of tokens) {
    violations.push(...checkTokens(subject, read));
  }
  const ends = groupBy(records, "answer_ended", ({ request }) => request);
  for (const [subject, ended] of ends) {
    for (const end of ended) {
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
    violations.push(...checkFollows(subject, previous, token));
    previous = token;
  }
  return violations;
}

function checkFollows(
  subject: string,
  previous: TokenRead | undefined,
  token: TokenRead,
): readonly Violation[] {
  const trace = previous === undefined ? [token] : [previous, token];
  if (previous !== undefined && previous.generation !== token.generation) {
    return [{ kind: "other_generation", subject, trace }];
  }
  const expected = (previous?.index ?? -1) + 1;
  if (token.index === expected) {
    return [];
  }
  const kind = token.index < expected ? "token_repeated" : "token_skipped";
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
