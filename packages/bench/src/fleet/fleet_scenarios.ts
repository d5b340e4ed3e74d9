import type { NodeFleet } from "./node_fleet.ts";
import { sendControl } from "./node_fleet.ts";
import { nodeId, nodePlacement } from "./bench_node.ts";

const updateTimeoutMs = 60_000;
const roundDelayMs = 300;

/** Milliseconds, one value for each awaited update. */
export type Latencies = readonly number[];

/** Cost of an idle fleet: per node, except for the table's operations. */
export interface IdleFigures {
  readonly controlBytesPerSecond: number;
  /** Fraction of one core. */
  readonly processorShare: number;
  readonly residentMegabytes: number;
  /** Operations of the whole fleet on the platform's table. */
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
}

/** Measures the cost of the fleet while it has no work. */
export async function measureIdle(
  fleet: NodeFleet,
  platformUrl: string,
  seconds: number,
): Promise<IdleFigures> {
  const usageBefore = await fleet.measureUsage();
  const operationsBefore = await countOperations(platformUrl);
  await delay(seconds * 1_000);
  const usageAfter = await fleet.measureUsage();
  const operationsAfter = await countOperations(platformUrl);
  const nodeSeconds = seconds * fleet.aliveNodes.size;
  return {
    controlBytesPerSecond:
      (usageAfter.controlBytes - usageBefore.controlBytes) /
      nodeSeconds,
    processorShare:
      (usageAfter.processorSeconds - usageBefore.processorSeconds) /
      nodeSeconds,
    residentMegabytes: usageAfter.residentBytes / fleet.aliveNodes.size / 1e6,
    readsPerSecond: (operationsAfter.reads - operationsBefore.reads) / seconds,
    writesPerSecond: (operationsAfter.writes - operationsBefore.writes) /
      seconds,
  };
}

/** Measures how long a draining mark takes to reach every node. */
export async function measureMarkPropagation(
  fleet: NodeFleet,
  rounds: number,
): Promise<Latencies> {
  const latencies: number[] = [];
  for (let round = 0; round < rounds; round++) {
    const name = `engine-${Date.now()}-${round}`;
    const index = pickSteward(fleet, round);
    const propagation = awaitPropagation(fleet, {
      topic: "mark",
      matches: (mark) => mark === name,
    });
    fleet.send(index, { kind: "mark", index, name });
    latencies.push(...await propagation);
    await delay(roundDelayMs);
  }
  return latencies;
}

/** Measures how long a configuration takes to reach every other node. */
export async function measureConfigurationPropagation(
  fleet: NodeFleet,
  rounds: number,
): Promise<Latencies> {
  const latencies: number[] = [];
  for (let round = 1; round <= rounds; round++) {
    const index = pickSteward(fleet, round);
    const name = String(round);
    const propagation = awaitPropagation(fleet, {
      topic: "configuration",
      matches: (version) => version === name,
      origin: index,
    });
    fleet.send(index, { kind: "configure", index, version: round });
    latencies.push(...await propagation);
    await delay(roundDelayMs);
  }
  return latencies;
}

/**
 * Kills and restarts one steward in each round. Measures how long the other
 * nodes take to detect the failure and to take over the duties.
 */
export async function measureNodeFailures(
  fleet: NodeFleet,
  rounds: number,
): Promise<{ readonly detection: Latencies; readonly takeover: Latencies }> {
  const detection: number[] = [];
  const takeover: number[] = [];
  for (let round = 0; round < rounds; round++) {
    const index = pickSteward(fleet, round);
    const heldDuties = dutiesByNode.get(index) ?? new Set<string>();
    const { detected, dutiesTakenOver } = awaitFailover(
      fleet,
      [index],
      [...heldDuties],
    );
    dutiesByNode.delete(index);
    fleet.kill(index);
    detection.push(...await detected);
    takeover.push(...await dutiesTakenOver);
    const rejoined = awaitPropagation(fleet, {
      topic: "member",
      matches: (name) => isRestartedNode(fleet, name, index),
      origin: index,
    });
    await fleet.startNode(index);
    await rejoined;
    await delay(rejoinDelayMs);
  }
  return { detection, takeover };
}

/**
 * Kills a third of the nodes at once. Measures how long the others take to
 * detect the failures and to take over the duties.
 */
export async function measureSimultaneousFailures(
  fleet: NodeFleet,
): Promise<{ readonly detection: Latencies; readonly takeover: Latencies }> {
  const killedNodes = [...fleet.aliveNodes].filter((index) => index % 3 === 1);
  const heldDuties = killedNodes.flatMap((
    index,
  ) => [...dutiesByNode.get(index) ?? []]);
  const { detected, dutiesTakenOver } = awaitFailover(
    fleet,
    killedNodes,
    heldDuties,
  );
  for (const index of killedNodes) {
    dutiesByNode.delete(index);
    fleet.kill(index);
  }
  return { detection: await detected, takeover: await dutiesTakenOver };
}

/** Records which node holds which duty. */
export function trackDutyHolders(fleet: NodeFleet): void {
  fleet.subscribe(({ topic, index, name }) => {
    if (topic === "duty") {
      for (const heldDuties of dutiesByNode.values()) {
        heldDuties.delete(name);
      }
      dutiesByNode.set(index, (dutiesByNode.get(index) ?? new Set()).add(name));
    }
  });
}

/** Clears the holders that were recorded for a previous fleet. */
export function clearDutyHolders(): void {
  dutiesByNode.clear();
}

/** Time for a restarted node to join before the next round. */
const rejoinDelayMs = 2_000;

const dutiesByNode = new Map<number, Set<string>>();

/**
 * Waits until all survivors have detected the failures, and until all duties
 * have been taken over.
 */
function awaitFailover(
  fleet: NodeFleet,
  killedNodes: readonly number[],
  heldDuties: readonly string[],
): {
  readonly detected: Promise<Latencies>;
  readonly dutiesTakenOver: Promise<Latencies>;
} {
  const killedIds = new Set(killedNodes.map(nodeId));
  const survivors = [...fleet.aliveNodes].filter((index) =>
    !killedNodes.includes(index)
  );
  const detected = awaitUpdates(
    fleet,
    survivors.flatMap((index) =>
      [...killedIds].map((killedId) => `${index} ${killedId}`)
    ),
    ({ topic, index, name }) => {
      const [id = "", state = ""] = name.split(" ");
      const failed = state === "suspected" || state === "gone";
      return topic === "member" && failed ? `${index} ${id}` : null;
    },
  );
  const dutiesTakenOver = awaitUpdates(
    fleet,
    heldDuties,
    ({ topic, name }) => (topic === "duty" ? name : null),
  );
  return { detected, dutiesTakenOver };
}

interface AwaitedUpdate {
  readonly topic: string;
  readonly matches: (name: string) => boolean;
  /** Node that the update starts from; its own report is not awaited. */
  readonly origin?: number;
}

/** Waits until the update has reached all nodes alive, except its origin. */
function awaitPropagation(
  fleet: NodeFleet,
  { topic, matches, origin }: AwaitedUpdate,
): Promise<Latencies> {
  const receivers = [...fleet.aliveNodes].filter((index) => index !== origin);
  return awaitUpdates(
    fleet,
    receivers.map(String),
    (update) =>
      update.topic === topic && matches(update.name)
        ? String(update.index)
        : null,
  );
}

/** Waits for an update of each key, and returns the milliseconds to each. */
function awaitUpdates(
  fleet: NodeFleet,
  keys: readonly string[],
  keyOf: (update: Parameters<Parameters<NodeFleet["subscribe"]>[0]>[0]) =>
    | string
    | null,
): Promise<Latencies> {
  const startedAt = Date.now();
  const missing = new Set(keys);
  const latencies: number[] = [];
  return new Promise((resolve, reject) => {
    if (missing.size === 0) {
      resolve(latencies);
      return;
    }
    const timer = setTimeout(() => {
      const examples = [...missing].slice(0, 5).join(", ");
      unsubscribe();
      reject(
        new Error(
          `Timed out with ${missing.size} updates missing: ${examples}`,
        ),
      );
    }, updateTimeoutMs);
    const unsubscribe = fleet.subscribe((update) => {
      const key = keyOf(update);
      if (key !== null && missing.delete(key)) {
        latencies.push(Math.max(0, update.at - startedAt));
      }
      if (missing.size === 0) {
        clearTimeout(timer);
        unsubscribe();
        resolve(latencies);
      }
    });
  });
}

function isRestartedNode(
  fleet: NodeFleet,
  name: string,
  index: number,
): boolean {
  const [id, state, epoch] = name.split(" ");
  return id === nodeId(index) && state === "live" &&
    epoch === fleet.epochByNode.get(index);
}

/** Picks a steward, so that duties have to move when it is killed. */
function pickSteward(fleet: NodeFleet, round: number): number {
  const stewards = [...fleet.aliveNodes].filter((index) =>
    nodePlacement(index).role === "steward"
  );
  return stewards[(round * 7 + 3) % stewards.length] ?? 0;
}

async function countOperations(
  platformUrl: string,
): Promise<{ readonly reads: number; readonly writes: number }> {
  return await sendControl(platformUrl, "operations", {}) as {
    reads: number;
    writes: number;
  };
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
