import { KnownError } from "@lavenderferry/errors";
import type { Period } from "@lavenderferry/ledger";
import { allDays } from "@lavenderferry/ledger";
import { z } from "zod";

/** The members of a request's query. */
export type Query = Readonly<Record<string, unknown>>;

const daySchema = z.iso.date();
const versionSchema = z.string().regex(/^\d{1,12}$/).transform(Number);

/** Reads the days `from` and `to`; a day that is left out sets no bound. */
export function readPeriod(query: Query): Period {
  const period = {
    from: readMember(query, "from", daySchema) ?? allDays.from,
    to: readMember(query, "to", daySchema) ?? allDays.to,
  };
  if (period.from > period.to) {
    throw new KnownError(
      `The period from "${period.from}" to "${period.to}" has no days`,
      { kind: "bad_request" },
    );
  }
  return period;
}

/** Reads a version number; `undefined` when it is left out. */
export function readVersion(query: Query, member: string): number | undefined {
  return readMember(query, member, versionSchema);
}

function readMember<Value>(
  query: Query,
  member: string,
  schema: z.ZodType<Value>,
): Value | undefined {
  const text = query[member];
  if (text === undefined) {
    return undefined;
  }
  const parsed = schema.safeParse(text);
  if (!parsed.success) {
    throw new KnownError(`The parameter "${member}" is not valid`, {
      kind: "bad_request",
    });
  }
  return parsed.data;
}
