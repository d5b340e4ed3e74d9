#!/usr/bin/env node
import { runProgram } from "@lavenderferry/settings";
import { startEntry } from "./entry.ts";
import { entrySettingsSchema } from "./settings.ts";

await runProgram({
  name: "lavenderferry-entry",
  schema: entrySettingsSchema,
  start: startEntry,
});
