import { readFileSync } from "node:fs";
import { KnownError } from "@lavenderferry/errors";
import { parseSettings } from "./parse_settings.ts";
import type { z } from "zod";

const readFailures: Readonly<Record<string, string>> = {
  ENOENT: "it does not exist",
  EACCES: "permission denied",
  EISDIR: "it is a directory",
};

/** Reads and checks a settings file; errors name the path and the line. */
export function loadSettings<Schema extends z.ZodType>(
  path: string,
  schema: Schema,
): z.output<Schema> {
  return parseSettings(readSettings(path), schema, { path });
}

function readSettings(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (cause) {
    const code = (cause as NodeJS.ErrnoException).code ?? "";
    const reason = readFailures[code] ?? code;
    throw new KnownError(`${path}: cannot read the file: ${reason}`, {
      kind: "bad_request",
    });
  }
}
