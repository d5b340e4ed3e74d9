import type { IncomingMessage } from "node:http";
import { costOfChunk } from "@lavenderferry/runtime";

/** Cost of the chunks that one message delivers before others have their turn. */
const turnCostBytes = 65_536;

/**
 * Calls back for each chunk of a message's body. A connection that always has
 * more to read is read up to 32 times before any other one; here it pauses after
 * its turn, once all that was read of it is delivered.
 */
export function readInTurns(
  message: IncomingMessage,
  onChunk: (chunk: Buffer) => void,
): void {
  const { socket } = message;
  let cost = 0;
  let isPausing = false;
  message.on("data", (chunk: Buffer) => {
    cost += costOfChunk(chunk);
    if (cost >= turnCostBytes && !isPausing) {
      isPausing = true;
      queueMicrotask(() => {
        // A paused message would keep each chunk that is read by then.
        socket.pause();
        setImmediate(() => {
          cost = 0;
          isPausing = false;
          socket.resume();
        });
      });
    }
    onChunk(chunk);
  });
}
