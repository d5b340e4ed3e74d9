import type { EngineShare } from "@lavenderferry/protocol";
import type { Moment } from "@lavenderferry/runtime";
import type { Exchange } from "./exchange.ts";
import type { PeerWork } from "./fleet_updates.ts";

/** Publishes a process's work in flight; only changes are sent. */
export function publishShares(
  exchange: Exchange,
  shares: readonly PeerWork[],
  at: Moment,
): void {
  const sharesByEngine = new Map(
    shares.map((share) => [share.engine, share]),
  );
  for (const { key, value } of exchange.store.ofKind("shares")) {
    const wasBusy = value.running !== 0 || value.tokens !== 0;
    if (!sharesByEngine.has(key) && wasBusy) {
      const idle = { engine: key, running: 0, tokens: 0 };
      exchange.publish("shares", { key, value: idle }, { at });
    }
  }
  for (const [key, share] of sharesByEngine) {
    const value: EngineShare = { ...share };
    const known = exchange.store.get("shares", key)?.value;
    if (known?.running !== share.running || known.tokens !== share.tokens) {
      exchange.publish("shares", { key, value }, { at });
    }
  }
}
