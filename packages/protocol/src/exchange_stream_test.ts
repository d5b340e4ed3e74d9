import { once } from "node:events";
import { connect } from "node:http2";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import type { ServiceError } from "@grpc/grpc-js";
import { Client, credentials, Server, ServerCredentials } from "@grpc/grpc-js";
import type { Test } from "tap";
import t from "tap";
import type {
  ExchangeMessage,
  ExchangeMessage__Output,
} from "./generated/lavenderferry/v1/ExchangeMessage.ts";
import { maxCallsPerConnection } from "./limits.ts";
import { PeerClient } from "./peer_client.ts";
import { PeerClients } from "./peer_clients.ts";
import type { PeerMethods } from "./peer_server.ts";
import { PeerServer } from "./peer_server.ts";
import { peerService } from "./peer_service.ts";

type ExchangeMethod = PeerMethods["exchange"];

const ip = "127.0.0.1";

function methodsOf(exchange: ExchangeMethod): PeerMethods {
  const unused = () => Promise.reject(new Error("Not used"));
  return {
    exchange,
    settle: unused,
    hold: unused,
    takeOver: unused,
    explain: unused,
    drain: unused,
  };
}

async function startPeer(
  t: Test,
  exchange: ExchangeMethod,
): Promise<{ readonly port: number; readonly client: PeerClient }> {
  const server = new PeerServer(methodsOf(exchange));
  const port = await server.listen(ip, 0);
  const client = new PeerClient(`${ip}:${port}`);
  t.teardown(() => {
    client.close();
    server.close();
  });
  return { port, client };
}

function echo({ sequence }: ExchangeMessage__Output) {
  return Promise.resolve<ExchangeMessage>({ sequence });
}

async function failsAsLost(t: Test, reply: Promise<unknown>): Promise<void> {
  const failure: unknown = await reply.catch((error: unknown) => error);
  t.match(failure, { kind: "upstream_lost" });
}

t.test("replies belong to their requests, also if later ones are ready first", async (t) => {
  const delaysMs = [60, 5, 30, 0];
  const { client } = await startPeer(t, async ({ sequence }) => {
    await new Promise((resolve) =>
      setTimeout(resolve, delaysMs[sequence] ?? 0)
    );
    return { sequence };
  });
  const replies = await Promise.all(
    delaysMs.map((_, sequence) => client.exchange({ sequence })),
  );
  t.strictSame(replies.map(({ sequence }) => sequence), [0, 1, 2, 3]);
});

t.test("a request that fails at the peer ends no other exchange for good", async (t) => {
  const { client } = await startPeer(
    t,
    (message) =>
      message.sequence === 1
        ? Promise.reject(new Error("Broken"))
        : echo(message),
  );
  t.equal((await client.exchange({ sequence: 0 })).sequence, 0);
  await failsAsLost(t, client.exchange({ sequence: 1 }));
  t.equal((await client.exchange({ sequence: 2 })).sequence, 2);
});

t.test("a peer that does not reply fails the request and is asked anew", async (t) => {
  const replies: Promise<ExchangeMessage>[] = [new Promise(() => undefined)];
  const { client } = await startPeer(
    t,
    (message) => replies.shift() ?? echo(message),
  );
  await failsAsLost(t, client.exchange({ sequence: 1 }));
  t.equal((await client.exchange({ sequence: 2 })).sequence, 2);
});

// While a link was saturated, exchanges failed and relays suspected each other.
t.test("an exchange goes on while the peer sends parts of documents", async (t) => {
  const { client } = await startPeer(t, async ({ sequence }) => {
    await new Promise((resolve) => setTimeout(resolve, 1_400));
    return { sequence };
  });
  let isOver = false;
  const replied = client.exchange({ sequence: 7 })
    .finally(() => (isOver = true));
  let parts = 0;
  while (!isOver) {
    await client.readDocument({}, performance.now() + 1_000);
    parts += 1;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  t.equal((await replied).sequence, 7);
  t.ok(parts > 0);
});

// An exchange after the end opened a connection that kept the process running.
t.test("no connection is opened once all are closed", async (t) => {
  const { port } = await startPeer(t, echo);
  const clients = new PeerClients();
  const address = `${ip}:${port}`;
  t.equal((await clients.at(address).exchange({ sequence: 1 })).sequence, 1);
  clients.close();
  await t.rejects(clients.at(address).exchange({ sequence: 2 }));
  await t.rejects(clients.at(address).readDocument({}, performance.now()));
});

t.test("a connection that is silent from the start fails the request", async (t) => {
  const sockets = new Set<Socket>();
  const silent = createServer((socket) => sockets.add(socket));
  await new Promise<void>((resolve) => silent.listen(0, ip, resolve));
  const { port } = silent.address() as AddressInfo;
  const client = new PeerClient(`${ip}:${port}`);
  t.teardown(() => {
    client.close();
    silent.close();
    for (const socket of sockets) {
      socket.destroy();
    }
  });
  await failsAsLost(t, client.exchange({ sequence: 1 }));
});

// Builds before this call answer it with UNIMPLEMENTED.
t.test("a peer of an earlier build is asked by single calls", async (t) => {
  const server = new Server();
  const { Exchange } = peerService.service;
  server.addService({ Exchange }, {
    Exchange: (
      { request }: { readonly request: ExchangeMessage__Output },
      callback: (error: null, reply: ExchangeMessage) => void,
    ) => callback(null, { sequence: request.sequence }),
  });
  const port = await new Promise<number>((resolve, reject) => {
    const insecure = ServerCredentials.createInsecure();
    server.bindAsync(`${ip}:0`, insecure, (error, bound) => {
      if (error === null) {
        resolve(bound);
      } else {
        reject(error);
      }
    });
  });
  const client = new PeerClient(`${ip}:${port}`);
  t.teardown(() => {
    client.close();
    server.forceShutdown();
  });
  for (const sequence of [1, 2, 3]) {
    t.equal((await client.exchange({ sequence })).sequence, sequence);
  }
});

t.test("a request that cannot be decoded ends its stream only", async (t) => {
  const { client, port } = await startPeer(t, echo);
  const raw = new Client(`${ip}:${port}`, credentials.createInsecure());
  t.teardown(() => raw.close());
  const same = (bytes: Buffer) => bytes;
  const { path } = peerService.service.ExchangeInOrder;
  const call = raw.makeBidiStreamRequest(path, same, same);
  const ended = once(call, "error");
  call.write(Buffer.from([0xff, 0xff, 0xff]));
  const [error] = await ended as [ServiceError];
  t.ok(error.code);
  t.equal((await client.exchange({ sequence: 7 })).sequence, 7);
});

// A client may open streams without end, each of which takes memory.
t.test("the calls of one connection are bounded", async (t) => {
  const { port } = await startPeer(t, echo);
  const session = connect(`http://${ip}:${port}`);
  t.teardown(() => session.close());
  const [settings] = await once(session, "remoteSettings") as [
    { readonly maxConcurrentStreams?: number },
  ];
  t.equal(settings.maxConcurrentStreams, maxCallsPerConnection);
});
