import type { NodeFleet } from "./node_fleet.ts";
import { control } from "./node_fleet.ts";
import { nodeId, placeOf } from "./bench_node.ts";

const limitMs = 60_000;
const pauseMs = 300;

/** Times in milliseconds, one for each node and round. */
export type Times = readonly number[];

/** What a fleet costs while nothing happens, for each process. */
export interface RestFigures {
  readonly controlBytesPerSecond: number;
  readonly processorShare: number;
  readonly residentMegabytes: number;
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
}

/** Measures the cost for each process while nothing happens. */
export async function measureRest(
  fleet: NodeFleet,
  platform: string,
  seconds: number,
): Promise<RestFigures> {
  const before = await fleet.measure();
  const operations = await countOperations(platform);
  await pause(seconds * 1_000);
  const after = await fleet.measure();
  const later = await countOperations(platform);
  const perSecond = seconds * fleet.alive.size;
  return {
    controlBytesPerSecond: (after.controlBytes - before.controlBytes) /
      perSecond,
    processorShare: (after.processor - before.processor) / perSecond,
    residentMegabytes: after.residentBytes / fleet.alive.size / 1e6,
    readsPerSecond: (later.reads - operations.reads) / seconds,
    writesPerSecond: (later.writes - operations.writes) / seconds,
  };
}

/** Measures how long a draining mark takes to reach each node. */
export async function spreadMarks(
  fleet: NodeFleet,
  rounds: number,
): Promise<Times> {
  const times: number[] = [];
  for (let round = 0; round < rounds; round++) {
    const name = `engine-${Date.now()}-${round}`;
    const index = pick(fleet, round);
    const all = reached(fleet, {
      topic: "mark",
      matches: (each) => each === name,
    });
    fleet.send(index, { kind: "mark", index, name });
    times.push(...await all);
    await pause(pauseMs);
  }
  return times;
}

/** Measures how long a configuration takes to reach each node. */
export async function spreadConfigurations(
  fleet: NodeFleet,
  rounds: number,
): Promise<Times> {
  const times: number[] = [];
  for (let round = 1; round <= rounds; round++) {
    const index = pick(fleet, round);
    const name = String(round);
    const all = reached(fleet, {
      topic: "configuration",
      matches: (each) => each === name,
      except: index,
    });
    fleet.send(index, { kind: "configure", index, version: round });
    times.push(...await all);
    await pause(pauseMs);
  }
  return times;
}

/** Measures how long a death takes to be noticed and its duties to move. */
export async function killOne(
  fleet: NodeFleet,
  rounds: number,
): Promise<{ readonly notice: Times; readonly duties: Times }> {
  const notice: number[] = [];
  const duties: number[] = [];
  for (let round = 0; round < rounds; round++) {
    const index = pick(fleet, round);
    const held = holdings.get(index) ?? new Set<string>();
    const { noticed, moved } = expectDeaths(fleet, [index], [...held]);
    holdings.delete(index);
    fleet.kill(index);
    notice.push(...await noticed);
    duties.push(...await moved);
    const back = reached(fleet, {
      topic: "member",
      matches: (name) => isBack(fleet, name, index),
      except: index,
    });
    await fleet.startNode(index);
    await back;
    await pause(settleMs);
  }
  return { notice, duties };
}

/** Measures the time to a steady state after a third was killed at once. */
export async function killThird(
  fleet: NodeFleet,
): Promise<{ readonly notice: Times; readonly duties: Times }> {
  const victims = [...fleet.alive].filter((index) => index % 3 === 1);
  const held = victims.flatMap((index) => [...holdings.get(index) ?? []]);
  const { noticed, moved } = expectDeaths(fleet, victims, held);
  for (const index of victims) {
    holdings.delete(index);
    fleet.kill(index);
  }
  return { notice: await noticed, duties: await moved };
}

/** Follows which node holds which duty. */
export function followDuties(fleet: NodeFleet): void {
  fleet.watch(({ topic, index, name }) => {
    if (topic === "duty") {
      for (const held of holdings.values()) {
        held.delete(name);
      }
      holdings.set(index, (holdings.get(index) ?? new Set()).add(name));
    }
  });
}

/** Forgets the holders of a former fleet. */
export function forgetDuties(): void {
  holdings.clear();
}

/** Milliseconds in which a restarted node joins. */
const settleMs = 2_000;

const holdings = new Map<number, Set<string>>();

function expectDeaths(
  fleet: NodeFleet,
  victims: readonly number[],
  held: readonly string[],
): { readonly noticed: Promise<Times>; readonly moved: Promise<Times> } {
  const names = new Set(victims.map(nodeId));
  const survivors = [...fleet.alive].filter((each) => !victims.includes(each));
  const noticed = collect(
    fleet,
    survivors.flatMap((index) => [...names].map((name) => `${index} ${name}`)),
    ({ topic, index, name }) => {
      const [id = "", state = ""] = name.split(" ");
      const dead = state === "suspected" || state === "gone";
      return topic === "member" && dead ? `${index} ${id}` : null;
    },
  );
  const moved = collect(
    fleet,
    held,
    ({ topic, name }) => (topic === "duty" ? name : null),
  );
  return { noticed, moved };
}

interface Expectation {
  readonly topic: string;
  readonly matches: (name: string) => boolean;
  /** Node that learns it first-hand. */
  readonly except?: number;
}

function reached(
  fleet: NodeFleet,
  { topic, matches, except }: Expectation,
): Promise<Times> {
  const expected = [...fleet.alive].filter((each) => each !== except);
  return collect(
    fleet,
    expected.map(String),
    (learned) =>
      learned.topic === topic && matches(learned.name)
        ? String(learned.index)
        : null,
  );
}

/** Waits for each expected key once, and returns the milliseconds to each. */
function collect(
  fleet: NodeFleet,
  keys: readonly string[],
  keyOf: (learned: Parameters<Parameters<NodeFleet["watch"]>[0]>[0]) =>
    | string
    | null,
): Promise<Times> {
  const start = Date.now();
  const missing = new Set(keys);
  const times: number[] = [];
  return new Promise((resolve, reject) => {
    if (missing.size === 0) {
      resolve(times);
      return;
    }
    const timer = setTimeout(() => {
      const left = [...missing].slice(0, 5).join(", ");
      stop();
      reject(new Error(`${missing.size} not reached: ${left}`));
    }, limitMs);
    const stop = fleet.watch((learned) => {
      const key = keyOf(learned);
      if (key !== null && missing.delete(key)) {
        times.push(Math.max(0, learned.at - start));
      }
      if (missing.size === 0) {
        clearTimeout(timer);
        stop();
        resolve(times);
      }
    });
  });
}

function isBack(fleet: NodeFleet, name: string, index: number): boolean {
  const [id, state, epoch] = name.split(" ");
  return id === nodeId(index) && state === "live" &&
    epoch === fleet.epochs.get(index);
}

/** Picks a steward, so that its duties move as well. */
function pick(fleet: NodeFleet, round: number): number {
  const stewards = [...fleet.alive].filter((index) =>
    placeOf(index).role === "steward"
  );
  return stewards[(round * 7 + 3) % stewards.length] ?? 0;
}

async function countOperations(
  platform: string,
): Promise<{ readonly reads: number; readonly writes: number }> {
  return await control(platform, "operations", {}) as {
    reads: number;
    writes: number;
  };
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
