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
import { nodeId, placeOf } from "./bench_node.ts";

/** Measures what records cost, at several counts, in this process. */
const engineCounts = [8, 200, 5_700];
const memberCounts = [32, 96, 1_120];
const workspaceCounts = [10, 1_000, 43_000];
const rounds = 100;
const listSchema = z.object({ vms: z.array(vmSchema) });

function print(figures: object): void {
  process.stdout.write(`${JSON.stringify(figures)}\n`);
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Mean milliseconds of processor time of one run. */
function processorMs(run: () => unknown): number {
  run();
  const before = process.cpuUsage();
  for (let round = 0; round < rounds; round++) {
    run();
  }
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1_000 / rounds;
}

function vmOf(index: number): Vm {
  const { dataCentre, region } = placeOf(index);
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

function memberOf(index: number): Member {
  return {
    id: nodeId(index),
    epoch: "a1",
    sequence: 1,
    state: "live",
    ...placeOf(index),
    address: `127.0.0.1:${10_000 + index}`,
    peers: `127.0.0.1:${20_000 + index}`,
  };
}

function numbers(count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index);
}

function measureEngines(count: number): void {
  const text = JSON.stringify({ vms: numbers(count).map(vmOf) });
  const parse = () => listSchema.parse(JSON.parse(text));
  const before = heapBytes();
  const kept = parse();
  const bytes = heapBytes() - before;
  print({
    scenario: "vm_list",
    records: kept.vms.length,
    listBytes: text.length,
    heapBytesPerRecord: bytes / count,
    parseMs: processorMs(parse),
  });
}

function measureMembers(count: number): void {
  const members = numbers(count).map(memberOf);
  const [self] = members;
  if (self === undefined) {
    return;
  }
  const at = systemClock.now();
  const before = heapBytes();
  const node = new FleetNode({ ...self, seed: 1 }, at.wall);
  for (const member of members) {
    node.membership.learn(member, at);
  }
  node.poll(at);
  const bytes = heapBytes() - before;
  const view = { members, directory: new DutyDirectory(), pools: [] };
  print({
    scenario: "members",
    records: node.membership.all().length,
    heapBytesPerRecord: bytes / count,
    chooseMs: processorMs(() => choosePeers(self, members)),
    pollMs: processorMs(() => node.poll(systemClock.now())),
    rankMs: processorMs(() =>
      new Duties({ id: nodeId(1), epoch: "a1" }).step(
        view,
        systemClock.now(),
      )
    ),
  });
}

/** Open usage of one interval: the entry's state by workspace. */
function measureWorkspaces(count: number): void {
  const wall = systemClock.now().wall;
  const before = heapBytes();
  const meter = new UsageMeter("a1");
  for (const index of numbers(count)) {
    const cause = { workClass: "report", workspace: `workspace-${index}` };
    meter.add(cause, "output", { amount: 1, wall });
  }
  const bytes = heapBytes() - before;
  print({
    scenario: "workspaces",
    records: meter.openRecords,
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
