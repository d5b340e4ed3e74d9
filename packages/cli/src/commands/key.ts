import { createCallerKey } from "@lavenderferry/credentials";
import { KnownError } from "@lavenderferry/errors";
import { nameSchema } from "@lavenderferry/settings";
import { printJson, printLine } from "../util/print.ts";
import type { Command } from "./command.ts";

/** Prints the key that authenticates the callers of a workspace. */
export const key: Command = {
  usage: "key <workspace>",
  description: "Print the caller key of a workspace",
  run: ({ settings, json }, workspace = "") => {
    const { callerSecret } = settings;
    if (callerSecret === undefined) {
      throw new KnownError('The settings have no member "callerSecret"', {
        kind: "bad_request",
      });
    }
    if (!nameSchema.safeParse(workspace).success) {
      throw new KnownError(
        `Workspace "${workspace}": expected lower-case letters, digits ` +
          "and dashes",
        { kind: "bad_request" },
      );
    }
    const callerKey = createCallerKey(workspace, callerSecret);
    if (json) {
      printJson({ workspace, key: callerKey });
    } else {
      printLine(callerKey);
    }
    return Promise.resolve();
  },
};
