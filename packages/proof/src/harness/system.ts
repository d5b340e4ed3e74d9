import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createCallerKey } from "@lavenderferry/credentials";
import { entryProgram } from "@lavenderferry/entry";
import type { Statement } from "@lavenderferry/configuration";
import type { Vm } from "@lavenderferry/platform";
import { ProxyServer, standinPrograms } from "@lavenderferry/standins";
import { stewardProgram } from "@lavenderferry/steward";
import { request } from "undici";
import { Operator } from "./operator.ts";
import type { Program } from "./program.ts";
import { startProgram } from "./program.ts";

const callerSecret = "caller-secret-of-the-test-harness-0";
const streamSecret = "stream-secret-of-the-test-harness-0";

/** Operator key in the settings of every steward. */
export const operatorKey = "operator-key-of-the-test-harness-00";

/** Numbers of processes and their settings. */
export interface SystemOptions {
  readonly entries?: number;
  readonly stewards?: number;
  readonly engines?: number;
  /** Pool of each service process. */
  readonly services?: readonly string[];
  /** Arguments of every engine. */
  readonly engineArgs?: readonly string[];
  /** Merged into the settings of every entry. */
  readonly entrySettings?: object;
  /** Data centres to which processes are assigned in turn. */
  readonly dataCentres?: readonly string[];
  /** Puts a fault proxy in front of every upstream and the platform. */
  readonly links?: boolean;
}

const defaultDataCentres = ["krakow", "lodz", "warszawa"];

/** A complete system of real processes on loopback. */
export class System {
  /** Programs by name, such as `entry-0`; they may have exited. */
  readonly programs = new Map<string, Program>();
  /** Fault proxies in front of upstreams and the platform, by name. */
  readonly links = new Map<string, ProxyServer>();
  readonly #options: SystemOptions;
  #directory = "";
  #platformAddress = "";
  /** Address of the platform, or of its proxy, for processes under test. */
  #platformLinkAddress = "";

  constructor(options: SystemOptions = {}) {
    this.#options = options;
  }

  /** Base address of the platform itself, not of its proxy. */
  get platformUrl(): string {
    return `http://${this.#platformAddress}`;
  }

  /** Starts every process and adds it to the platform's list of VMs. */
  async start(): Promise<void> {
    const { stewards = 2, entries = 3, engines = 4 } = this.#options;
    this.#directory = await mkdtemp(join(tmpdir(), "lavenderferry-"));
    const platform = await this.#startProgram(
      "platform",
      standinPrograms.platform,
      [],
    );
    this.#platformAddress = platform.listening.address;
    this.#platformLinkAddress = await this.#createLink(
      "platform",
      this.#platformAddress,
    );
    const services = this.#options.services ?? ["booking", "booking"];
    await Promise.all([
      ...createMany(engines, (index) => this.startEngine(`engine-${index}`)),
      ...services.map((service, index) =>
        this.startService(`service-${index}`, service)
      ),
      ...createMany(stewards, (index) => this.startSteward(`steward-${index}`)),
      ...createMany(entries, (index) => this.startEntry(`entry-${index}`)),
    ]);
  }

  /** Starts an engine and registers it, also to replace one of that id. */
  async startEngine(id: string): Promise<Program> {
    const args = this.#options.engineArgs ?? [];
    const engine = await this.#startProgram(id, standinPrograms.engine, args);
    const address = await this.#createLink(id, engine.listening.address);
    await this.register({ id, role: "engine", address, pool: "models" });
    return engine;
  }

  /** Starts a service of a pool and registers it. */
  async startService(id: string, pool: string): Promise<Program> {
    const args = ["--platform", this.platformUrl, "--pool", pool];
    const service = await this.#startProgram(id, standinPrograms.service, args);
    const address = await this.#createLink(id, service.listening.address);
    await this.register({ id, role: "service", address, pool });
    return service;
  }

  /** Starts a steward and registers it. */
  async startSteward(id: string): Promise<Program> {
    const settings = await this.#writeSettings(id, {
      operators: { ip: "127.0.0.1", port: 0 },
      operatorKeys: { harness: operatorKey },
    });
    const args = ["--settings", settings];
    const steward = await this.#startProgram(id, stewardProgram, args);
    await this.register({ id, role: "steward", ...steward.listening });
    return steward;
  }

  /** Starts an entry and registers it. */
  async startEntry(id: string): Promise<Program> {
    const settings = await this.#writeSettings(id, {
      callers: { ip: "127.0.0.1", port: 0 },
      callerSecret,
      streamSecret,
      ...this.#options.entrySettings,
    });
    const args = ["--settings", settings];
    const entry = await this.#startProgram(id, entryProgram, args);
    await this.register({ id, role: "entry", ...entry.listening });
    return entry;
  }

  /** Adds a VM to the platform's list, or replaces the one of that id. */
  async register(
    vm: Pick<Vm, "id" | "role" | "address"> & Partial<Vm>,
  ): Promise<void> {
    const body = {
      dataCentre: this.#dataCentreOf(vm.id),
      region: "centre",
      state: "live",
      ...vm,
    };
    await this.sendControl("vms", body);
  }

  /** Sends a PUT request to a path below `/control/` of the platform. */
  async sendControl(path: string, body: object): Promise<unknown> {
    const response = await request(`${this.platformUrl}/control/${path}`, {
      method: "PUT",
      body: JSON.stringify(body),
    });
    return await response.body.json();
  }

  /** Inserts a row into the platform's table. */
  async insertRow(key: string, value: object): Promise<void> {
    const writes = [{ key, ifVersion: null, value }];
    await request(`${this.platformUrl}/v1/table/commit`, {
      method: "POST",
      body: JSON.stringify({ writes }),
    });
  }

  /** Returns the program of that name; throws if none was started. */
  program(name: string): Program {
    const program = this.programs.get(name);
    if (program === undefined) {
      throw new Error(`No program is called "${name}"`);
    }
    return program;
  }

  /** Returns the base address of a program. */
  url(name: string): string {
    return `http://${this.program(name).listening.address}`;
  }

  /** Returns the key of a workspace's callers. */
  callerKey(workspace: string): string {
    return createCallerKey(workspace, callerSecret);
  }

  /** Writes a JSON file, removed by `stop`, and returns its path. */
  async writeFile(name: string, content: object): Promise<string> {
    const path = join(this.#directory, name);
    await writeFile(path, JSON.stringify(content, null, 2));
    return path;
  }

  /** Returns a client of the operators' interface of a steward. */
  operator(steward = "steward-0"): Operator {
    return new Operator(this.url(steward), operatorKey);
  }

  /** Starts every process and waits until the configuration is in force. */
  async startWithConfiguration(statement: Statement): Promise<void> {
    await this.start();
    const { status, body } = await this.operator().apply(statement, 0);
    if (status !== 200) {
      throw new Error(`The configuration was refused: ${JSON.stringify(body)}`);
    }
    await this.waitUntilReady();
    const effectiveAt = Date.parse(String(body["effectiveAt"]));
    const waitMs = effectiveAt - Date.now() + propagationMs;
    await new Promise((resolve) => setTimeout(resolve, Math.max(0, waitMs)));
  }

  /** Waits until every entry is ready. */
  async waitUntilReady(): Promise<void> {
    const names = [...this.programs.keys()].filter((name) =>
      name.startsWith("entry-")
    );
    await Promise.all(names.map((name) => waitUntilEntryReady(this.url(name))));
  }

  /** Kills every process and removes the files written. */
  async stop(): Promise<void> {
    const programs = [...this.programs.values()];
    await Promise.all(programs.map((program) => program.kill()));
    this.links.forEach((link) => link.close());
    await rm(this.#directory, { recursive: true, force: true });
  }

  /** Returns the address of a new proxy, or the given one without proxies. */
  async #createLink(id: string, address: string): Promise<string> {
    if (this.#options.links !== true) {
      return address;
    }
    this.links.get(id)?.close();
    const link = new ProxyServer(address);
    this.links.set(id, link);
    return await link.start();
  }

  async #startProgram(
    name: string,
    program: URL,
    args: readonly string[],
  ): Promise<Program> {
    const started = await startProgram(name, program, args);
    this.programs.set(name, started);
    return started;
  }

  async #writeSettings(id: string, members: object): Promise<string> {
    return await this.writeFile(`${id}.json`, {
      vm: id,
      dataCentre: this.#dataCentreOf(id),
      region: "centre",
      peers: { ip: "127.0.0.1", port: 0 },
      platform: `http://${this.#platformLinkAddress}`,
      ...members,
    });
  }

  #dataCentreOf(id: string): string {
    const dataCentres = this.#options.dataCentres ?? defaultDataCentres;
    const index = Number(/\d+$/.exec(id)?.[0] ?? 0);
    return dataCentres[index % dataCentres.length] ?? "krakow";
  }
}

/** Time in which a change reaches every process once it is in force. */
const propagationMs = 1_500;

const readyTimeoutMs = 20_000;
const readyPollMs = 50;

async function waitUntilEntryReady(url: string): Promise<void> {
  const deadline = performance.now() + readyTimeoutMs;
  while (performance.now() < deadline) {
    const response = await request(`${url}/readyz`);
    await response.body.dump();
    if (response.statusCode === 200) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, readyPollMs));
  }
  throw new Error(`${url} did not become ready`);
}

function createMany<Item>(
  count: number,
  create: (index: number) => Item,
): readonly Item[] {
  return Array.from({ length: count }, (_, index) => create(index));
}
