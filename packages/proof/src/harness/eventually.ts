const pollMs = 50;
const defaultTimeoutMs = 30_000;

/** Polls `read` until `accept` returns true; throws after the time-out. */
export async function eventually<Value>(
  read: () => Value | Promise<Value>,
  accept: (value: Value) => boolean,
  timeoutMs = defaultTimeoutMs,
): Promise<Value> {
  const deadline = performance.now() + timeoutMs;
  for (;;) {
    const value = await read();
    if (accept(value)) {
      return value;
    }
    if (performance.now() > deadline) {
      throw new Error(
        `No accepted value before the time-out, last was ${
          JSON.stringify(value)
        }`,
      );
    }
    await new Promise((resolve) => setTimeout(resolve, pollMs));
  }
}
