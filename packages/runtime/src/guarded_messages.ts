import { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { GuardedConnection } from "./guarded_connection.ts";

const connections = new WeakMap<Socket, GuardedConnection>();

/** Returns the guarded connection of a socket. */
export function connectionOf(socket: Socket): GuardedConnection | undefined {
  return connections.get(socket);
}

/** Registers the guarded connection of a socket. */
export function registerConnection(
  socket: Socket,
  connection: GuardedConnection,
): void {
  connections.set(socket, connection);
}

/** A request that is read while it is its connection's turn. */
export class GuardedRequest extends IncomingMessage {
  #isRead = false;

  /** Requests more of the body, unless the connection awaits its turn. */
  override _read(size: number): void {
    // Node notes by the first call that the body is not left unread.
    if (!this.#isRead || connectionOf(this.socket)?.isPaused !== true) {
      this.#isRead = true;
      super._read(size);
    }
  }
}

/** A response that tells its connection when the next request may begin. */
export class GuardedResponse extends ServerResponse {
  constructor(...args: ConstructorParameters<typeof ServerResponse>) {
    super(...args);
    const [request] = args;
    connectionOf(request.socket)?.begin(request, this);
  }
}
