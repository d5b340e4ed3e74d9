#!/usr/bin/env node
import { runProgram } from "@lavenderferry/settings";
import { stewardSettingsSchema } from "./settings.ts";
import { startSteward } from "./steward.ts";

await runProgram({
  name: "lavenderferry-steward",
  schema: stewardSettingsSchema,
  start: startSteward,
});
