import { printJson, printLine } from "../util/print.ts";
import type { Command } from "./command.ts";

/** Starts the planned stop of an entry or steward. */
export const drain: Command = {
  usage: "drain <vm>",
  description: "Ask a VM to take no new work and finish what runs",
  run: async ({ client, json }, vm = "") => {
    const path = `drain/${encodeURIComponent(vm)}`;
    const { body } = await client.send(path, { method: "POST" });
    if (json) {
      printJson(body);
      return;
    }
    const { running } = body;
    const runningText = running === undefined ? "" : `; ${running} running`;
    printLine(`VM "${vm}" is draining${runningText}`);
  },
};
