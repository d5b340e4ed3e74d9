import { once } from "node:events";
import { connect } from "node:net";
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
  /** Whether the engine refused a connection, as no process listens. */
  readonly ended: boolean;
}

/** Milliseconds that establishing a connection may take. */
const connectTimeoutMs = 800;

/** Error code of a connection to a port on which no process listens. */
const refusedCode = "ECONNREFUSED";

/** Handlers that check engines. */
export const engineCheckHandlers: EffectHandlers<EngineChecked, EngineCheck> = {
  check_engine: ({ upstream, address }, dispatch) => {
    void refusesConnections(address).then((ended) =>
      dispatch({ kind: "engine_checked", upstream, ended })
    );
  },
};

/** Whether an address refuses connections at once, as nothing listens there. */
async function refusesConnections(address: string): Promise<boolean> {
  const { ip: host, port } = parseSocketAddress(address);
  const socket = connect({ host, port });
  try {
    await once(socket, "connect", {
      signal: AbortSignal.timeout(connectTimeoutMs),
    });
    return false;
  } catch (error) {
    return error instanceof Error && "code" in error &&
      error.code === refusedCode;
  } finally {
    socket.destroy();
  }
}
