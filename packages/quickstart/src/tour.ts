import type { Statement } from "@lavenderferry/configuration";
import { Caller, eventually, operatorKey, System } from "@lavenderferry/proof";
import { request } from "undici";
import { z } from "zod";
import { OperatorCommandLine } from "./operator_command_line.ts";
import { printLine } from "./print_line.ts";
import { printStream } from "./print_stream.ts";
import { equalSplit, initialStatement } from "./statement.ts";

const workspace = "clinic";
const bookingPath = "booking/bookings";

/** Time in which a change reaches every process once it is in force. */
const propagationMs = 1_500;

/** Cost of two bookings and one read of a slot's status. */
const expectedCallMicroUnits = 3_000_000n;

const costsSchema = z.object({
  costs: z.array(z.object({ unit: z.string(), microUnits: z.string() })),
});

const acceptedSchema = z.object({
  version: z.number(),
  effectiveAt: z.string(),
});

const runsSchema = z.object({
  runs: z.array(z.object({ slot: z.string(), key: z.string() })),
});

/**
 * Starts a whole system on the loopback interface and sends requests through
 * it.
 */
export class Tour {
  readonly #system = new System({ entries: 3, stewards: 2, engines: 4 });
  #started: Promise<void> = Promise.resolve();

  /** Starts every process and demonstrates each part once. */
  async run(): Promise<void> {
    printLine("Starting 3 entries, 2 stewards, 4 engines, 2 services and");
    printLine("a platform on loopback");
    this.#started = this.#system.startWithConfiguration(initialStatement);
    await this.#started;
    const commandLine = await this.#createCommandLine();
    const caller = new Caller(this.#system.callerKey(workspace));
    const addresses = await caller.fetchAddresses(this.#system.url("entry-0"));
    const [address = ""] = addresses;
    printHeading(`A caller asks which address to use and gets ${address}`);
    const requestId = await this.#showGeneration(address);
    await this.#showBooking(caller, address);
    await this.#showConfigurationChange(commandLine, caller, address);
    await this.#showCosts(commandLine);
    printHeading(
      "Decisions about the Summary, such as the choice of its engine",
    );
    await commandLine.runAndPrint("explain", requestId);
    this.#showNextSteps(commandLine, address);
  }

  /** Waits until a start in progress has ended, then stops every process. */
  async stop(): Promise<void> {
    await this.#started.catch(() => undefined);
    await this.#system.stop();
  }

  async #createCommandLine(): Promise<OperatorCommandLine> {
    const stewards = ["steward-0", "steward-1"].map((name) =>
      this.#system.url(name)
    );
    const settings = { stewards, operatorKey };
    const path = await this.#system.writeFile("operator.json", settings);
    return new OperatorCommandLine(path);
  }

  async #showGeneration(address: string): Promise<string> {
    printHeading("A Summary, token by token");
    const content = "Summarise the call about the water meter. [out:24]";
    const { tokens, complete, requestId } = await printStream({
      address,
      key: this.#system.callerKey(workspace),
      body: {
        model: "base",
        class: "summary",
        messages: [{ role: "user", content }],
      },
    });
    printLine(`${tokens} tokens, ${complete ? "complete" : "incomplete"}`);
    return requestId;
  }

  async #showBooking(caller: Caller, address: string): Promise<void> {
    printHeading("One booking, sent twice with one key");
    const booking = {
      class: "booking",
      key: "quickstart-1",
      body: { slot: "monday-0900", by: "anna" },
    };
    const first = await caller.call(address, bookingPath, booking);
    printLine(`First answer: status ${first.status}`);
    const second = await eventually(
      () => caller.call(address, bookingPath, booking),
      ({ status }) => status !== 409,
    );
    printLine(
      `Second answer: status ${second.status}, replayed: ${second.replayed}`,
    );
    const slot = await caller.call(address, "booking/slots/monday-0900", {
      class: "booking",
    });
    printLine(`Slot status: ${JSON.stringify(slot.body)}`);
    printLine(`Runs at the services: ${await this.#countRuns("monday-0900")}`);
  }

  async #countRuns(slot: string): Promise<number> {
    const response = await request(`${this.#system.platformUrl}/control/runs`);
    const { runs } = runsSchema.parse(await response.body.json());
    return runs.filter((run) => run.slot === slot).length;
  }

  async #showConfigurationChange(
    commandLine: OperatorCommandLine,
    caller: Caller,
    address: string,
  ): Promise<void> {
    printHeading("An operator splits the cost of bookings into equal halves");
    const text = await commandLine.run("get", "--json");
    const newestConfiguration = JSON.parse(text) as Statement;
    const splits = { ...newestConfiguration.splits, shared: equalSplit };
    const file = await this.#system.writeFile("configuration.json", {
      ...newestConfiguration,
      splits,
    });
    printLine("$ lavenderferry diff configuration.json");
    printLine((await commandLine.run("diff", file)).trimEnd());
    const output = await commandLine.run("apply", file, "--json");
    const accepted = acceptedSchema.parse(JSON.parse(output));
    printLine("$ lavenderferry apply configuration.json");
    printLine(
      `Version ${accepted.version} takes effect at ${accepted.effectiveAt}`,
    );
    await waitUntil(Date.parse(accepted.effectiveAt) + propagationMs);
    await caller.call(address, bookingPath, {
      class: "booking",
      key: "quickstart-2",
      body: { slot: "monday-0930", by: "jaan" },
    });
    printLine("A second slot is booked under the new split");
  }

  async #showCosts(commandLine: OperatorCommandLine): Promise<void> {
    printHeading("What each partner owes");
    await eventually(
      async () => {
        const text = await commandLine.run("costs", "--json");
        return costsSchema.parse(JSON.parse(text)).costs;
      },
      (costs) => sumCallMicroUnits(costs) >= expectedCallMicroUnits,
    );
    await commandLine.runAndPrint("costs");
  }

  #showNextSteps(commandLine: OperatorCommandLine, address: string): void {
    const key = this.#system.callerKey(workspace);
    const body = {
      model: "base",
      class: "report",
      stream: true,
      messages: [{ role: "user", content: "Survey of Elm Street [out:200]" }],
    };
    printHeading("Next steps");
    printLine(commandLine.formatCommand("get"));
    printLine(commandLine.formatCommand("status"));
    printLine(commandLine.formatCommand("history"));
    printLine(
      `curl -N ${address}/v1/chat/completions ` +
        `-H "authorization: Bearer ${key}" -d '${JSON.stringify(body)}'`,
    );
    printLine(`curl ${address}/metrics`);
    printLine("docs/CALLERS.md and docs/OPERATORS.md describe the interfaces");
  }
}

function printHeading(text: string): void {
  printLine(`\n== ${text}`);
}

function sumCallMicroUnits(
  costs: readonly { readonly unit: string; readonly microUnits: string }[],
): bigint {
  return costs
    .filter(({ unit }) => unit === "call")
    .reduce((sum, { microUnits }) => sum + BigInt(microUnits), 0n);
}

async function waitUntil(unixMs: number): Promise<void> {
  const waitMs = Math.max(0, unixMs - Date.now());
  await new Promise((resolve) => setTimeout(resolve, waitMs));
}
