import type { Statement } from "@lavenderferry/configuration";
import { Caller, eventually, operatorKey, System } from "@lavenderferry/proof";
import { request } from "undici";
import { z } from "zod";
import { OperatorShell } from "./operator_shell.ts";
import { printLine } from "./print_line.ts";
import { printStream } from "./print_stream.ts";
import { equalParts, firstStatement } from "./statement.ts";

const workspace = "clinic";
const bookingPath = "booking/bookings";
/** Time in which every process hears of a change. */
const settlingMs = 1_500;

/** Two bookings and one read of a slot's status. */
const microUnitsOfCalls = 3_000_000n;

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

/** Starts a whole system on loopback and shows it at work. */
export class Tour {
  readonly #system = new System({ entries: 3, stewards: 2, engines: 4 });
  #started: Promise<void> = Promise.resolve();

  /** Starts every process and shows each part once. */
  async run(): Promise<void> {
    printLine("Starting 3 entries, 2 stewards, 4 engines, 2 services and");
    printLine("a platform on loopback");
    this.#started = this.#system.startWith(firstStatement);
    await this.#started;
    const shell = await this.#openShell();
    const caller = new Caller(this.#system.callerKey(workspace));
    const addresses = await caller.addresses(this.#system.url("entry-0"));
    const [address = ""] = addresses;
    heading(`A caller asks which address to use and gets ${address}`);
    const requestId = await this.#showGeneration(address);
    await this.#showBooking(caller, address);
    await this.#showChange(shell, caller, address);
    await this.#showCosts(shell);
    heading("Why the Summary went where it went");
    await shell.show("explain", requestId);
    this.#showNextSteps(shell, address);
  }

  /** Stops every process. */
  async stop(): Promise<void> {
    await this.#started.catch(() => undefined);
    await this.#system.stop();
  }

  async #openShell(): Promise<OperatorShell> {
    const stewards = ["steward-0", "steward-1"].map((name) =>
      this.#system.url(name)
    );
    const settings = { stewards, operatorKey };
    const path = await this.#system.writeFile("operator.json", settings);
    return new OperatorShell(path);
  }

  async #showGeneration(address: string): Promise<string> {
    heading("A Summary, token by token");
    const content = "Summarise the call about the water meter. [out:24]";
    const { tokens, whole, requestId } = await printStream({
      address,
      key: this.#system.callerKey(workspace),
      body: {
        model: "base",
        class: "summary",
        messages: [{ role: "user", content }],
      },
    });
    printLine(`${tokens} tokens, ${whole ? "whole" : "not whole"}`);
    return requestId;
  }

  async #showBooking(caller: Caller, address: string): Promise<void> {
    heading("One booking, sent twice with one key");
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
    const response = await request(`${this.#system.platform}/control/runs`);
    const { runs } = runsSchema.parse(await response.body.json());
    return runs.filter((run) => run.slot === slot).length;
  }

  async #showChange(
    shell: OperatorShell,
    caller: Caller,
    address: string,
  ): Promise<void> {
    heading("An operator changes who pays for bookings, to equal halves");
    const text = await shell.run("get", "--json");
    const stated = JSON.parse(text) as Statement;
    const splits = { ...stated.splits, shared: equalParts };
    const file = await this.#system.writeFile("configuration.json", {
      ...stated,
      splits,
    });
    printLine("$ lavenderferry diff configuration.json");
    printLine((await shell.run("diff", file)).trimEnd());
    const output = await shell.run("apply", file, "--json");
    const accepted = acceptedSchema.parse(JSON.parse(output));
    printLine("$ lavenderferry apply configuration.json");
    printLine(
      `Version ${accepted.version} takes force at ${accepted.effectiveAt}`,
    );
    await until(Date.parse(accepted.effectiveAt) + settlingMs);
    await caller.call(address, bookingPath, {
      class: "booking",
      key: "quickstart-2",
      body: { slot: "monday-0930", by: "jaan" },
    });
    printLine("A second slot is booked under the new split");
  }

  async #showCosts(shell: OperatorShell): Promise<void> {
    heading("What each partner owes");
    await eventually(
      async () => {
        const text = await shell.run("costs", "--json");
        return costsSchema.parse(JSON.parse(text)).costs;
      },
      (costs) => sumOfCalls(costs) >= microUnitsOfCalls,
    );
    await shell.show("costs");
  }

  #showNextSteps(shell: OperatorShell, address: string): void {
    const key = this.#system.callerKey(workspace);
    const body = {
      model: "base",
      class: "report",
      stream: true,
      messages: [{ role: "user", content: "Survey of Elm Street [out:200]" }],
    };
    heading("Go on with");
    printLine(shell.line("get"));
    printLine(shell.line("status"));
    printLine(shell.line("history"));
    printLine(
      `curl -N ${address}/v1/chat/completions ` +
        `-H "authorization: Bearer ${key}" -d '${JSON.stringify(body)}'`,
    );
    printLine(`curl ${address}/metrics`);
    printLine("docs/CALLERS.md and docs/OPERATORS.md describe the interfaces");
  }
}

function heading(text: string): void {
  printLine(`\n== ${text}`);
}

function sumOfCalls(
  costs: readonly { readonly unit: string; readonly microUnits: string }[],
): bigint {
  return costs
    .filter(({ unit }) => unit === "call")
    .reduce((sum, { microUnits }) => sum + BigInt(microUnits), 0n);
}

async function until(wall: number): Promise<void> {
  const wait = Math.max(0, wall - Date.now());
  await new Promise((resolve) => setTimeout(resolve, wait));
}
