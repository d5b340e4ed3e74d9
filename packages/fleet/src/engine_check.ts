import { once } from "node:events";
import { Socket } from "node:net";
import type { EffectHandlers } from "@lavenderferry/runtime";
import { parseSocketAddress } from "./socket_address.ts";

/** Checks whether an engine still accepts connections. */
export interface EngineCheck {
  readonly kind: "check_engine";
  readonly upstream: string;
  readonly address: string;
}

/** An engine was checked after attempts at it were lost. */
export interface EngineChecked {
  readonly kind: "engine_checked";
  readonly upstream: string;
  readonly outcome: keyof typeof engineOutcomes;
}

/** Outcomes of an attempt to connect to an engine. */
export const engineOutcomes = {
  /** The engine accepted the connection. */
  listening: "listening",
  /** The connection was refused at once, as no process listens. */
  ended: "ended",
  /** There was no answer, as if the VM or the network were down. */
  silent: "silent",
} as const;

/** Milliseconds that establishing a connection may take. */
const connectTimeoutMs = 800;

/** Error code of a connection to a port on which no process listens. */
const refusedCode = "ECONNREFUSED";

/** Handlers that check engines. */
export const engineCheckHandlers: EffectHandlers<EngineChecked, EngineCheck> = {
  check_engine: ({ upstream, address }, dispatch) => {
    void tryToConnect(address).then((outcome) =>
      dispatch({ kind: "engine_checked", upstream, outcome })
    );
  },
};

async function tryToConnect(
  address: string,
): Promise<EngineChecked["outcome"]> {
  const { ip: host, port } = parseSocketAddress(address);
  const socket = new Socket();
  try {
    socket.connect({ host, port });
    await once(socket, "connect", {
      signal: AbortSignal.timeout(connectTimeoutMs),
    });
    return "listening";
  } catch (error) {
    const isRefused = error instanceof Error && "code" in error &&
      error.code === refusedCode;
    return isRefused ? "ended" : "silent";
  } finally {
    socket.destroy();
  }
}
