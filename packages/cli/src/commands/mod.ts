import { apply } from "./apply.ts";
import type { Command } from "./command.ts";
import { costs } from "./costs.ts";
import { diff } from "./diff.ts";
import { drain } from "./drain.ts";
import { explain } from "./explain.ts";
import { get } from "./get.ts";
import { history } from "./history.ts";
import { key } from "./key.ts";
import { status } from "./status.ts";

/** Commands of the operators' command line, in the order of `--help`. */
export const commands: readonly Command[] = [
  get,
  apply,
  diff,
  history,
  status,
  costs,
  explain,
  drain,
  key,
];
