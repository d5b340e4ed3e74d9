import type { Member } from "@lavenderferry/fleet";
import {
  choosePeers,
  Duties,
  DutyDirectory,
  FleetNode,
} from "@lavenderferry/fleet";
import { UsageMeter } from "@lavenderferry/ledger";
import type { Vm } from "@lavenderferry/platform";
import { vmSchema } from "@lavenderferry/platform";
import { systemClock } from "@lavenderferry/runtime";
import { z } from "zod";
import { nodeId, nodePlacement } from "./bench_node.ts";

/**
 * Measures the heap and processor time that VMs, members and usage records
 * take in a process, for several counts of each.
 */
const engineCounts = [8, 200, 5_700];
const memberCounts = [32, 96, 1_120];
const workspaceCounts = [10, 1_000, 43_000];
const roundsPerMeasurement = 100;
const listSchema = z.object({ vms: z.array(vmSchema) });

function printFigures(figures: object): void {
  process.stdout.write(`${JSON.stringify(figures)}\n`);
}

function readHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Returns the mean processor time of one run, after one run to warm up. */
function meanProcessorMs(run: () => unknown): number {
  run();
  const before = process.cpuUsage();
  for (let round = 0; round < roundsPerMeasurement; round++) {
    run();
  }
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1_000 / roundsPerMeasurement;
}

function createVm(index: number): Vm {
  const { dataCentre, region } = nodePlacement(index);
  return {
    id: `engine-${index}`,
    role: "engine",
    dataCentre,
    region,
    state: "live",
    address: `127.0.0.1:${10_000 + index}`,
    pool: `pool-${index % 64}`,
    checksFence: false,
  };
}

function createMember(index: number): Member {
  return {
    id: nodeId(index),
    epoch: "a1",
    sequence: 1,
    state: "live",
    ...nodePlacement(index),
    address: `127.0.0.1:${10_000 + index}`,
    peers: `127.0.0.1:${20_000 + index}`,
  };
}

function indexesBelow(count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index);
}

function measureEngines(count: number): void {
  const text = JSON.stringify({ vms: indexesBelow(count).map(createVm) });
  const parse = () => listSchema.parse(JSON.parse(text));
  const bytesBefore = readHeapBytes();
  const retainedList = parse();
  const bytes = readHeapBytes() - bytesBefore;
  printFigures({
    scenario: "vm_list",
    records: retainedList.vms.length,
    listBytes: text.length,
    heapBytesPerRecord: bytes / count,
    parseMs: meanProcessorMs(parse),
  });
}

function measureMembers(count: number): void {
  const members = indexesBelow(count).map(createMember);
  const [self] = members;
  if (self === undefined) {
    return;
  }
  const at = systemClock.now();
  const bytesBefore = readHeapBytes();
  const node = new FleetNode({ ...self, seed: 1 }, at.wall);
  for (const member of members) {
    node.membership.merge(member, at);
  }
  node.poll(at);
  const bytes = readHeapBytes() - bytesBefore;
  const view = { members, directory: new DutyDirectory(), pools: [] };
  printFigures({
    scenario: "members",
    records: node.membership.all().length,
    heapBytesPerRecord: bytes / count,
    chooseMs: meanProcessorMs(() => choosePeers(self, members)),
    pollMs: meanProcessorMs(() => node.poll(systemClock.now())),
    rankMs: meanProcessorMs(() =>
      new Duties({ id: nodeId(1), epoch: "a1" }).step(
        view,
        systemClock.now(),
      )
    ),
  });
}

/** Measures an entry's open usage records of one interval, by workspace. */
function measureWorkspaces(count: number): void {
  const wall = systemClock.now().wall;
  const bytesBefore = readHeapBytes();
  const meter = new UsageMeter("a1");
  for (const index of indexesBelow(count)) {
    const cause = { workClass: "report", workspace: `workspace-${index}` };
    meter.add(cause, "output", { amount: 1, wall });
  }
  const bytes = readHeapBytes() - bytesBefore;
  printFigures({
    scenario: "workspaces",
    records: meter.openRecordCount,
    heapBytesPerRecord: bytes / count,
  });
}

for (const count of engineCounts) {
  measureEngines(count);
}
for (const count of memberCounts) {
  measureMembers(count);
}
for (const count of workspaceCounts) {
  measureWorkspaces(count);
}
