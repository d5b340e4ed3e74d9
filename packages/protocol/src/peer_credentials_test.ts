import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Failure } from "@lavenderferry/errors";
import { generate } from "selfsigned";
import type { Test } from "tap";
import t from "tap";
import type { TlsFiles } from "./peer_credentials.ts";
import { createPeerCredentials, isLoopback } from "./peer_credentials.ts";
import { PeerClients } from "./peer_clients.ts";
import { PeerServer } from "./peer_server.ts";

const ip = "127.0.0.1";
const reloadMs = 50;

interface Authority {
  readonly key: string;
  readonly cert: string;
}

const directory = await mkdtemp(join(tmpdir(), "lavenderferry-tls-"));
t.teardown(() => rm(directory, { recursive: true, force: true }));

async function createAuthority(): Promise<Authority> {
  const pems = await generate([{ name: "commonName", value: "authority" }], {
    algorithm: "sha256",
    extensions: [
      { name: "basicConstraints", cA: true, critical: true },
      { name: "keyUsage", keyCertSign: true, digitalSignature: true },
    ],
  });
  return { key: pems.private, cert: pems.cert };
}

/** Writes the TLS files of a VM, with a certificate by the signer. */
async function writeFiles(
  vm: string,
  signer: Authority,
  trusted = signer,
): Promise<TlsFiles> {
  const pems = await generate([{ name: "commonName", value: vm }], {
    algorithm: "sha256",
    ca: signer,
    extensions: [
      { name: "basicConstraints", cA: false },
      { name: "extKeyUsage", serverAuth: true, clientAuth: true },
      { name: "subjectAltName", altNames: [{ type: 7, ip }] },
    ],
  });
  const files = {
    key: join(directory, `${vm}.key`),
    certificate: join(directory, `${vm}.pem`),
    authority: join(directory, `${vm}-authority.pem`),
  };
  await writeFile(files.key, pems.private);
  await writeFile(files.certificate, pems.cert);
  await writeFile(files.authority, trusted.cert);
  return files;
}

/** Starts a server that answers exchanges, and returns its address. */
async function startServer(
  t: Test,
  tls: TlsFiles | undefined,
): Promise<{ readonly server: PeerServer; readonly address: string }> {
  const unused = () => Promise.reject(new Error("Not used"));
  const credentials = createPeerCredentials({ ip, tls, reloadMs });
  const server = new PeerServer({
    exchange: () => Promise.resolve({ sender: "server" }),
    settle: unused,
    hold: unused,
    takeOver: unused,
    explain: unused,
    drain: unused,
  }, credentials.server);
  const port = await server.listen(ip, 0);
  t.teardown(() => server.close());
  return { server, address: `${ip}:${port}` };
}

function createClients(t: Test, tls: TlsFiles | undefined): PeerClients {
  const credentials = createPeerCredentials({ ip, tls, reloadMs });
  const clients = new PeerClients(credentials);
  t.teardown(() => clients.close());
  return clients;
}

async function exchange(
  clients: PeerClients,
  address: string,
  sender: string,
): Promise<string> {
  try {
    return (await clients.at(address).exchange({ sender })).sender;
  } catch (error) {
    return (error as Failure).kind;
  }
}

t.test("members with certificates of one authority can connect", async (t) => {
  const authority = await createAuthority();
  const { address } = await startServer(
    t,
    await writeFiles("server", authority),
  );
  const clients = createClients(t, await writeFiles("member", authority));
  t.equal(await exchange(clients, address, "member"), "server");
});

t.test("a forged sender is refused and counted", async (t) => {
  const authority = await createAuthority();
  const { server, address } = await startServer(
    t,
    await writeFiles("server", authority),
  );
  const clients = createClients(t, await writeFiles("member", authority));
  t.equal(await exchange(clients, address, "other"), "stranger");
  t.equal(server.unauthenticatedCalls, 1);
});

t.test("clients without a trusted certificate get no answer", async (t) => {
  const authority = await createAuthority();
  const foreign = await createAuthority();
  const { address } = await startServer(
    t,
    await writeFiles("server", authority),
  );
  const trusting = await writeFiles("foreign", foreign, authority);
  const distrusting = await writeFiles("distrusting", foreign);
  for (const files of [trusting, distrusting, undefined]) {
    const clients = createClients(t, files);
    const answer = await exchange(clients, address, "foreign");
    t.ok(answer === "stranger" || answer === "upstream_lost", answer);
  }
});

t.test("a call to a server without a trusted certificate fails", async (t) => {
  const authority = await createAuthority();
  const foreign = await createAuthority();
  const { address } = await startServer(t, await writeFiles("fake", foreign));
  const clients = createClients(t, await writeFiles("member", authority));
  t.equal(await exchange(clients, address, "member"), "stranger");
});

t.test("changed TLS files are reloaded without a restart", async (t) => {
  const first = await createAuthority();
  const second = await createAuthority();
  const { address } = await startServer(t, await writeFiles("server", first));
  await writeFiles("server", second);
  const files = await writeFiles("renewed", second);
  for (;;) {
    const clients = createClients(t, files);
    if (await exchange(clients, address, "renewed") === "server") {
      break;
    }
    await new Promise((resolve) => setTimeout(resolve, reloadMs));
  }
  t.pass("the server presents and trusts the new certificates");
});

const addresses = [
  ["127.0.0.1", true],
  ["127.8.0.1:90", true],
  ["::1", true],
  ["[::1]:90", true],
  ["10.0.0.1", false],
  ["10.0.0.1:90", false],
  ["[fd00::1]:90", false],
] as const;

t.test("connections without TLS are allowed on loopback only", async (t) => {
  for (const [address, loopback] of addresses) {
    t.equal(isLoopback(address), loopback, address);
  }
  t.throws(() => createPeerCredentials({ ip: "10.0.0.1" }), {
    kind: "bad_request",
    message:
      'The setting "tls" is missing: "peers.ip" is "10.0.0.1", not loopback',
  });
  const clients = createClients(t, undefined);
  t.equal(await exchange(clients, "10.0.0.1:90", "member"), "stranger");
});

t.test("the error names a TLS file that cannot be read", (t) => {
  const missing = join(directory, "missing.pem");
  const tls = { key: missing, certificate: missing, authority: missing };
  t.throws(() => createPeerCredentials({ ip, tls }), {
    kind: "bad_request",
    message: `Cannot read the TLS file "${missing}"`,
  });
  t.end();
});
