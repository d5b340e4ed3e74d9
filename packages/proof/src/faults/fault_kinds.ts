import type { LinkFaults } from "@lavenderferry/standins";
import { healthyLink } from "@lavenderferry/standins";
import type { Random } from "@lavenderferry/runtime";
import type { System } from "../harness/system.ts";

/** The system under test and the state that concurrent faults share. */
export interface FaultContext {
  readonly system: System;
  readonly random: Random;
  /** Resolves when the time of this fault is over. */
  readonly untilFaultEnds: () => Promise<void>;
  /** Names of programs that a fault acts on at present. */
  readonly claimedPrograms: Set<string>;
}

type FaultInjector = (context: FaultContext) => Promise<void>;

/**
 * Functions that inject a fault of each kind. Each resolves once the fault
 * has ended and the program, link or platform works again.
 */
export const faultKinds = {
  entryKilled: killFault("entry", (system, name) => system.startEntry(name)),
  stewardKilled: killFault(
    "steward",
    (system, name) => system.startSteward(name),
  ),
  engineKilled: killFault("engine", (system, name) => system.startEngine(name)),
  serviceKilled: killFault(
    "service",
    (system, name) => system.startService(name, "booking"),
  ),
  entryPaused: pauseFault("entry"),
  stewardPaused: pauseFault("steward"),
  enginePaused: pauseFault("engine"),
  entryStopped: stopFault("entry", (system, name) => system.startEntry(name)),
  engineReclaimed: stopFault(
    "engine",
    (system, name) => system.startEngine(name),
  ),
  serviceReclaimed: stopFault(
    "service",
    (system, name) => system.startService(name, "booking"),
  ),
  linkStalled: linkFault({ stalled: true }),
  linkHalved: linkFault({ blockedDirection: "from_upstream" }),
  requestsHalved: linkFault({ blockedDirection: "to_upstream" }),
  linkSlow: linkFault({ delayMs: 40 }),
  linkCut: resetLink,
  storeDown: platformFault({ down: true }),
  storeSlow: platformFault({ delayMs: 300 }),
  storeAnswersLost: platformFault({ lostAnswers: 0.5 }),
  listLags: platformFault({ listLagMs: 3_000 }),
} as const satisfies Record<string, FaultInjector>;

/** Key of {@link faultKinds}, as accepted by `--without`. */
export type FaultKind = keyof typeof faultKinds;

/** Every kind in a fixed order, so that a seed gives the same schedule. */
export const faultKindNames = Object.keys(faultKinds) as readonly FaultKind[];

/** A program that has not exited this long after SIGTERM is killed. */
const stopTimeoutMs = 15_000;

/**
 * Picks a running program of a role and marks it as claimed. Returns
 * `undefined` if another fault has claimed a program of that role.
 */
function claimProgram(
  { system, random, claimedPrograms }: FaultContext,
  role: string,
) {
  const availableNames = [...system.programs.keys()].filter((name) =>
    name.startsWith(`${role}-`) && !claimedPrograms.has(name) &&
    !system.program(name).exited
  );
  // At most one program of a role is claimed, so that another keeps running.
  const roleIsClaimed = [...claimedPrograms].some((name) =>
    name.startsWith(`${role}-`)
  );
  const name = roleIsClaimed
    ? undefined
    : availableNames[random.integerBelow(availableNames.length)];
  if (name !== undefined) {
    claimedPrograms.add(name);
  }
  return name;
}

function killFault(
  role: string,
  restart: (system: System, name: string) => Promise<unknown>,
): FaultInjector {
  return async function kill(context) {
    const name = claimProgram(context, role);
    if (name !== undefined) {
      await context.system.program(name).kill();
      await context.untilFaultEnds();
      await restart(context.system, name);
      context.claimedPrograms.delete(name);
    }
  };
}

function pauseFault(role: string): FaultInjector {
  return async function pause(context) {
    const name = claimProgram(context, role);
    if (name !== undefined) {
      const program = context.system.program(name);
      program.signal("SIGSTOP");
      await context.untilFaultEnds();
      program.signal("SIGCONT");
      context.claimedPrograms.delete(name);
    }
  };
}

function stopFault(
  role: string,
  restart: (system: System, name: string) => Promise<unknown>,
): FaultInjector {
  return async function stop(context) {
    const name = claimProgram(context, role);
    if (name !== undefined) {
      const program = context.system.program(name);
      program.signal("SIGTERM");
      const killTimer = setTimeout(
        () => program.signal("SIGKILL"),
        stopTimeoutMs,
      );
      await program.waitForExit();
      clearTimeout(killTimer);
      await restart(context.system, name);
      context.claimedPrograms.delete(name);
    }
  };
}

function linkFault(faults: Partial<LinkFaults>): FaultInjector {
  return async function injectFault(context) {
    const { links } = context.system;
    const names = [...links.keys()].filter((name) => name !== "platform");
    const link = links.get(
      names[context.random.integerBelow(names.length)] ?? "",
    );
    if (link !== undefined) {
      link.faults = { ...healthyLink, ...faults };
      await context.untilFaultEnds();
      link.faults = healthyLink;
    }
  };
}

function resetLink({ system, random }: FaultContext): Promise<void> {
  const names = [...system.links.keys()];
  system.links.get(names[random.integerBelow(names.length)] ?? "")
    ?.resetConnections();
  return Promise.resolve();
}

function platformFault(faults: object): FaultInjector {
  return async function injectFault({ system, untilFaultEnds }) {
    await system.sendControl("faults", faults);
    await untilFaultEnds();
    await system.sendControl("faults", {});
  };
}
