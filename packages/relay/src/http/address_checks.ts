import { connect } from "node:net";
import type { Member } from "@lavenderferry/fleet";
import { parseSocketAddress } from "@lavenderferry/fleet";

/** Connects to an address; resolves with whether that succeeded. */
export type AddressProbe = (address: string) => Promise<boolean>;

interface Check {
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  /** Time for which the outcome is used. */
  readonly lifetimeMs: number;
  readonly isReachable: Promise<boolean>;
}

/**
 * Time for which the outcome of a check is used. An answer may list a relay for 7 s
 * after it has ended; the rest is for the check and the answer.
 */
const checkLifetimeMs = 5_000;

/**
 * Time for which a failure is used. A connection whose first packet is lost fails
 * too, as systems repeat the packet after about a second.
 */
const failureLifetimeMs = 1_000;

/** Time for a connection; those over narrow links take some 100 ms under load. */
const connectTimeoutMs = 500;

/**
 * Checks whether relays can be reached, for the answers with addresses. In a large
 * fleet few peers call each relay: those that have all ended together are suspected
 * one after another, which took 9 s in a simulation of 69 relays.
 */
export class AddressChecks {
  readonly #probe: AddressProbe;
  readonly #checks = new Map<string, Check>();

  constructor(probe: AddressProbe = probeAddress) {
    this.#probe = probe;
  }

  /** Returns the members that can be reached, in their order. */
  async filterReachable(
    members: readonly Member[],
    now: number,
  ): Promise<readonly Member[]> {
    for (const [address, { startedAt, lifetimeMs }] of this.#checks) {
      if (now - startedAt >= lifetimeMs) {
        this.#checks.delete(address);
      }
    }
    const reachable = await Promise.all(
      members.map(({ address }) => this.#check(address, now)),
    );
    return members.filter((_, index) => reachable[index]);
  }

  #check(address: string, now: number): Promise<boolean> {
    const known = this.#checks.get(address);
    if (known !== undefined) {
      return known.isReachable;
    }
    const isReachable = this.#probe(address).catch(() => false);
    const check = { startedAt: now, lifetimeMs: checkLifetimeMs, isReachable };
    this.#checks.set(address, check);
    return isReachable.then((isReachable) => {
      if (!isReachable && this.#checks.get(address) === check) {
        this.#checks.set(address, { ...check, lifetimeMs: failureLifetimeMs });
      }
      return isReachable;
    });
  }
}

function probeAddress(address: string): Promise<boolean> {
  const { ip: host, port } = parseSocketAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: connectTimeoutMs });
    const end = (isReachable: boolean) => {
      socket.destroy();
      resolve(isReachable);
    };
    socket.once("connect", () => end(true));
    socket.once("timeout", () => end(false));
    socket.on("error", () => end(false));
  });
}
