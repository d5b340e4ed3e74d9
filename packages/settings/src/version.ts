import { readFileSync } from "node:fs";
import { z } from "zod";

const packagePath = new URL("../package.json", import.meta.url);

/** Version of the system, from this package's `package.json`. */
export const version: string = z.object({ version: z.string() }).parse(
  JSON.parse(readFileSync(packagePath, "utf8")),
).version;
