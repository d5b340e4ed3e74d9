import { z } from "zod";
import { printJson, printLine, printTable } from "../util/print.ts";
import type { Command } from "./command.ts";

const processSchema = z.object({
  id: z.string(),
  role: z.string(),
  dataCentre: z.string(),
  state: z.string(),
});

const statusSchema = z.object({
  version: z.number(),
  inForce: z.object({ version: z.number() }).optional(),
  /** VMs in the list of the platform. */
  vms: z.array(processSchema),
  /** Processes in the membership of the steward that responded. */
  members: z.array(processSchema).optional(),
  duties: z.array(z.object({
    duty: z.string(),
    /** Empty if the last holder released the duty. */
    holder: z.string(),
    fence: z.number(),
  })).optional(),
});

type Status = z.output<typeof statusSchema>;

/** Prints the version in force, VMs, members and duties. */
export const status: Command = {
  usage: "status",
  description: "Print the version in force, VMs, members and duties",
  run: async ({ client, json }) => {
    const { body } = await client.send("status");
    if (json) {
      printJson(body);
      return;
    }
    const parsed = statusSchema.parse(body);
    printLine(describeVersion(parsed));
    printProcesses("vm", parsed.vms);
    if (parsed.members !== undefined) {
      printProcesses("member", parsed.members);
    }
    if (parsed.duties !== undefined) {
      printDuties(parsed.duties);
    }
  },
};

function describeVersion({ version, inForce }: Status): string {
  return inForce === undefined
    ? `Configuration version ${version}`
    : `Configuration version ${inForce.version} in force, ${version} accepted`;
}

function printProcesses(title: string, processes: Status["vms"]): void {
  printTable(
    [title, "role", "data centre", "state"],
    processes.map(({ id, role, dataCentre, state }) => [
      id,
      role,
      dataCentre,
      state,
    ]),
  );
}

function printDuties(duties: NonNullable<Status["duties"]>): void {
  printTable(
    ["duty", "holder", "fence"],
    duties.map(({ duty, holder, fence }) => [
      duty,
      holder || "nobody",
      String(fence),
    ]),
  );
}
