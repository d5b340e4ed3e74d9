import { z } from "zod";
import { printJson, printLine, printTable } from "../util/print.ts";
import type { Command } from "./command.ts";

const statusSchema = z.object({
  version: z.number(),
  inForce: z.object({ version: z.number() }).optional(),
  vms: z.array(z.object({
    id: z.string(),
    role: z.string(),
    dataCentre: z.string(),
    state: z.string(),
  })),
});

/** Prints the VMs and the version of the configuration. */
export const status: Command = {
  usage: "status",
  description: "Print the VMs and the configuration's version",
  run: async ({ client, json }) => {
    const { body } = await client.send("status");
    if (json) {
      printJson(body);
      return;
    }
    const { version, inForce, vms } = statusSchema.parse(body);
    printLine(
      inForce === undefined
        ? `Configuration version ${version}`
        : `Configuration version ${inForce.version} in force, ` +
          `${version} accepted`,
    );
    printTable(
      ["vm", "role", "data centre", "state"],
      vms.map(({ id, role, dataCentre, state }) => [
        id,
        role,
        dataCentre,
        state,
      ]),
    );
  },
};
