import { KnownError } from "@lavenderferry/errors";
import type { Period } from "@lavenderferry/ledger";
import { allDays } from "@lavenderferry/ledger";
import { z } from "zod";

/** Query parameters of a request, by name. */
export type Query = Readonly<Record<string, unknown>>;

const daySchema = z.iso.date();
const versionSchema = z.string().regex(/^\d{1,12}$/).transform(Number);

/** Reads the days `from` and `to`, both included; both are optional. */
export function readPeriod(query: Query): Period {
  const period = {
    from: readParameter(query, "from", daySchema) ?? allDays.from,
    to: readParameter(query, "to", daySchema) ?? allDays.to,
  };
  if (period.from > period.to) {
    throw new KnownError(
      `The period from "${period.from}" to "${period.to}" has no days`,
      { kind: "bad_request" },
    );
  }
  return period;
}

/** Reads a version number; `undefined` if the parameter is absent. */
export function readVersion(query: Query, name: string): number | undefined {
  return readParameter(query, name, versionSchema);
}

function readParameter<Value>(
  query: Query,
  name: string,
  schema: z.ZodType<Value>,
): Value | undefined {
  const text = query[name];
  if (text === undefined) {
    return undefined;
  }
  const parsed = schema.safeParse(text);
  if (!parsed.success) {
    throw new KnownError(`The parameter "${name}" is not valid`, {
      kind: "bad_request",
    });
  }
  return parsed.data;
}
