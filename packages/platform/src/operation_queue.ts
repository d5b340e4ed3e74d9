import PQueue from "p-queue";

const secondMs = 1_000;

/** Sets how many operations run at a time. */
export function setConcurrency(queue: PQueue, concurrency: number): void {
  if (queue.concurrency !== concurrency) {
    queue.concurrency = concurrency;
  }
}

/** Creates a queue of operations that limits how many run, and start a second. */
export function createQueue(concurrency: number, perSecond: number): PQueue {
  return new PQueue({
    concurrency,
    interval: secondMs,
    intervalCap: perSecond,
  });
}
