import { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { GuardedConnection } from "./guarded_connection.ts";

/** Chunks of a body from which their mean length counts. */
const minCountedChunks = 1_024;

/** Least mean length of the chunks of a body, in bytes. */
const minMeanChunkBytes = 4;

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

/** A request whose chunks are counted as they arrive. */
export class GuardedRequest extends IncomingMessage {
  #chunks = 0;
  #length = 0;
  #isRead = false;

  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    if (chunk === null) {
      return super.push(chunk, encoding);
    }
    this.#chunks += 1;
    this.#length += chunk.length;
    if (
      this.#chunks > minCountedChunks &&
      this.#length < this.#chunks * minMeanChunkBytes
    ) {
      connectionOf(this.socket)?.close("small_chunks");
      return true;
    }
    return super.push(chunk, encoding);
  }

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
