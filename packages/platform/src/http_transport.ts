import { collectText } from "@lavenderferry/runtime";
import { notifyOfChunks } from "./progress_deadline.ts";
import { StoreConnections } from "./store_connections.ts";
import type { Operation, Reply, Transport } from "./transport.ts";

interface EncodedRequest {
  readonly path: string;
  readonly body: object;
}

type Encoders = {
  readonly [Kind in Operation["kind"]]: (
    operation: Extract<Operation, { kind: Kind }>,
  ) => EncodedRequest;
};

const encoders: Encoders = {
  read: ({ keys }) => ({ path: "/v1/table/read", body: { keys } }),
  scan: ({ prefix, options }) => ({
    path: "/v1/table/scan",
    body: { prefix, ...options },
  }),
  changes: () => {
    throw new TypeError("The platform's table has no change feed");
  },
  commit: ({ writes }) => ({ path: "/v1/table/commit", body: { writes } }),
  list_vms: () => ({ path: "/v1/vms/list", body: {} }),
  put_object: ({ key, value }) => ({
    path: "/v1/objects/put",
    body: { key, value },
  }),
  get_object: ({ key }) => ({ path: "/v1/objects/get", body: { key } }),
};

/** Largest answer, each chunk's cost included. */
const maxAnswerBytes = 67_108_864;

/** Header with the era of the platform's table. */
export const eraHeader = "platform-era";

/** Reads an era from a header; returns `undefined` if it is not a number. */
export function readEra(
  header: string | readonly string[] | undefined,
): number | undefined {
  return typeof header === "string" && eraPattern.test(header)
    ? Number(header)
    : undefined;
}

const eraPattern = /^\d{1,9}$/;

/** Sends operations as JSON over HTTP. */
export class HttpTransport implements Transport {
  readonly #connections: StoreConnections;

  constructor(url: string, connections: number) {
    this.#connections = new StoreConnections(url, connections);
  }

  async send(
    operation: Operation,
    signal: AbortSignal,
    onBytes: () => void,
  ): Promise<Reply> {
    const encode = encoders[operation.kind] as (
      operation: Operation,
    ) => EncodedRequest;
    const { path, body } = encode(operation);
    const request = {
      method: "POST",
      path,
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
      signal,
    } as const;
    return await this.#connections.send(request, async (response) => {
      const status = response.statusCode;
      const era = readEra(response.headers[eraHeader]);
      const chunks = notifyOfChunks<unknown>(response.body, onBytes);
      const text = await collectText(chunks, maxAnswerBytes);
      return { status, body: JSON.parse(text) as unknown, era };
    });
  }

  async close(): Promise<void> {
    await this.#connections.close();
  }
}
