import type { LinkFaults } from "@lavenderferry/standins";
import { healthyLink } from "@lavenderferry/standins";
import type { Random } from "@lavenderferry/runtime";
import type { System } from "../harness/system.ts";

/** What a fault acts on. */
export interface FaultScene {
  readonly system: System;
  readonly random: Random;
  /** Waits while the fault lasts. */
  readonly hold: () => Promise<void>;
  /** Names of programs that a fault acts on now. */
  readonly taken: Set<string>;
}

type Fault = (scene: FaultScene) => Promise<void>;

/** Every kind of fault; each ends with what it disturbed put right. */
export const faultKinds = {
  entryKilled: killing("entry", (system, name) => system.startEntry(name)),
  stewardKilled: killing(
    "steward",
    (system, name) => system.startSteward(name),
  ),
  engineKilled: killing("engine", (system, name) => system.startEngine(name)),
  entryPaused: pausing("entry"),
  stewardPaused: pausing("steward"),
  enginePaused: pausing("engine"),
  entryStopped: stopping("entry", (system, name) => system.startEntry(name)),
  engineReclaimed: stopping(
    "engine",
    (system, name) => system.startEngine(name),
  ),
  linkStalled: disturbing({ stalled: true }),
  linkHalved: disturbing({ half: "from_upstream" }),
  requestsHalved: disturbing({ half: "to_upstream" }),
  linkSlow: disturbing({ delayMs: 40 }),
  linkCut: resetting,
  storeDown: platform({ down: true }),
  storeSlow: platform({ delayMs: 300 }),
  storeAnswersLost: platform({ lostAnswers: 0.5 }),
  listLags: platform({ listLagMs: 3_000 }),
} as const satisfies Record<string, Fault>;

/** One of the kinds of faults. */
export type FaultKind = keyof typeof faultKinds;

/** The kinds of faults in a fixed order. */
export const faultKindNames = Object.keys(faultKinds) as readonly FaultKind[];

/** Milliseconds in which a stopped program must have ended. */
const stopLimitMs = 15_000;

/** Takes a running program that no other fault acts on. */
function take({ system, random, taken }: FaultScene, role: string) {
  const names = [...system.programs.keys()].filter((name) =>
    name.startsWith(`${role}-`) && !taken.has(name) &&
    !system.program(name).ended
  );
  // One program of each role is left alone.
  const busy = [...taken].some((name) => name.startsWith(`${role}-`));
  const name = busy ? undefined : names[random.below(names.length)];
  if (name !== undefined) {
    taken.add(name);
  }
  return name;
}

function killing(
  role: string,
  restart: (system: System, name: string) => Promise<unknown>,
): Fault {
  return async function kill(scene) {
    const name = take(scene, role);
    if (name !== undefined) {
      await scene.system.program(name).kill();
      await scene.hold();
      await restart(scene.system, name);
      scene.taken.delete(name);
    }
  };
}

function pausing(role: string): Fault {
  return async function pause(scene) {
    const name = take(scene, role);
    if (name !== undefined) {
      const program = scene.system.program(name);
      program.signal("SIGSTOP");
      await scene.hold();
      program.signal("SIGCONT");
      scene.taken.delete(name);
    }
  };
}

function stopping(
  role: string,
  restart: (system: System, name: string) => Promise<unknown>,
): Fault {
  return async function stop(scene) {
    const name = take(scene, role);
    if (name !== undefined) {
      const program = scene.system.program(name);
      program.signal("SIGTERM");
      const limit = setTimeout(() => program.signal("SIGKILL"), stopLimitMs);
      await program.end();
      clearTimeout(limit);
      await restart(scene.system, name);
      scene.taken.delete(name);
    }
  };
}

function disturbing(faults: Partial<LinkFaults>): Fault {
  return async function disturb(scene) {
    const { links } = scene.system;
    const names = [...links.keys()].filter((name) => name !== "platform");
    const link = links.get(names[scene.random.below(names.length)] ?? "");
    if (link !== undefined) {
      link.faults = { ...healthyLink, ...faults };
      await scene.hold();
      link.faults = healthyLink;
    }
  };
}

function resetting({ system, random }: FaultScene): Promise<void> {
  const names = [...system.links.keys()];
  system.links.get(names[random.below(names.length)] ?? "")?.resetAll();
  return Promise.resolve();
}

function platform(faults: object): Fault {
  return async function disturb({ system, hold }) {
    await system.control("faults", faults);
    await hold();
    await system.control("faults", {});
  };
}
