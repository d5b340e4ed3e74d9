import { readFileSync } from "node:fs";
import { isIP } from "node:net";
import type { ChannelCredentials } from "@grpc/grpc-js";
import { credentials, experimental, ServerCredentials } from "@grpc/grpc-js";
import { KnownError } from "@lavenderferry/errors";

/** Paths of a process's key, its certificate and the CA's, in PEM. */
export interface TlsFiles {
  readonly key: string;
  readonly certificate: string;
  readonly authority: string;
}

/** gRPC credentials of a process as a server and as a client of its peers. */
export interface PeerCredentials {
  readonly server: ServerCredentials;
  readonly channel: ChannelCredentials;
  /** Whether peers authenticate each other by certificate. */
  readonly secure: boolean;
  /** Whether connections without TLS are allowed beyond loopback. */
  readonly privateNetwork: boolean;
}

/** Settings of the authentication between peers. */
export interface PeerSecurity {
  /** IP number on which this process listens for peers. */
  readonly ip: string;
  readonly tls?: TlsFiles | undefined;
  /** Milliseconds between two reloads of the files. */
  readonly reloadMs?: number;
  /** Allows connections without TLS, on a network that only the VMs reach. */
  readonly privateNetwork?: boolean;
}

const defaultReloadMs = 10_000;

/**
 * Creates the credentials of a process: mutual TLS with files that are
 * reloaded while it runs, or connections without TLS on loopback or on a
 * private network. Fails with the kind `bad_request` when a file cannot be
 * read, or when TLS is required but not configured.
 */
export function createPeerCredentials(security: PeerSecurity): PeerCredentials {
  const { ip, tls, reloadMs = defaultReloadMs } = security;
  if (tls === undefined && security.privateNetwork === true) {
    return { ...plainCredentials, privateNetwork: true };
  }
  if (tls === undefined) {
    checkLoopback(ip);
    return plainCredentials;
  }
  for (const path of [tls.key, tls.certificate, tls.authority]) {
    checkReadable(path);
  }
  const provider = new experimental.FileWatcherCertificateProvider({
    privateKeyFile: tls.key,
    certificateFile: tls.certificate,
    caCertificateFile: tls.authority,
    refreshIntervalMs: reloadMs,
  });
  return {
    server: experimental.createCertificateProviderServerCredentials(
      provider,
      provider,
      true,
    ),
    channel: experimental.createCertificateProviderChannelCredentials(
      provider,
      provider,
    ),
    secure: true,
    privateNetwork: false,
  };
}

/** Credentials without TLS, for loopback only. */
export const plainCredentials: PeerCredentials = {
  server: ServerCredentials.createInsecure(),
  channel: credentials.createInsecure(),
  secure: false,
  privateNetwork: false,
};

/** Returns whether an address, with or without a port, is on loopback. */
export function isLoopback(address: string): boolean {
  const ip = isIP(address) === 0
    ? address.replace(/:\d+$/, "").replace(/^\[|\]$/g, "")
    : address;
  return ip === "::1" || (isIP(ip) === 4 && ip.startsWith("127."));
}

function checkLoopback(ip: string): void {
  if (!isLoopback(ip)) {
    throw new KnownError(
      `The setting "tls" is missing: "peers.ip" is "${ip}", not loopback`,
      { kind: "bad_request" },
    );
  }
}

function checkReadable(path: string): void {
  try {
    readFileSync(path);
  } catch (cause) {
    throw new KnownError(`Cannot read the TLS file "${path}"`, {
      kind: "bad_request",
      cause,
    });
  }
}
