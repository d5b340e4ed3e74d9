import { isIP } from "node:net";
import { defaultConnectionLimits } from "@lavenderferry/runtime";
import { z } from "zod";
import { isLogPattern } from "./util/is_log_pattern.ts";

/** An IP number; host names are refused. */
export const ipSchema = z.string().refine((text) => isIP(text) !== 0, {
  error: "expected an IP number",
});

/** A listening or remote socket: `{"ip": "127.0.0.1", "port": 0}`. */
export const socketSchema = z.strictObject({
  ip: ipSchema,
  port: z.int().min(0).max(65_535),
});

/** An HTTP base URL whose host is an IP number. */
export const baseUrlSchema = z.url({ protocol: /^https?$/ }).refine(
  (text) => isIP(new URL(text).hostname.replace(/^\[|\]$/g, "")) !== 0,
  { error: "expected an address with an IP number" },
);

/** Name of a VM, data centre, region, class or workspace. */
export const nameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "expected lower-case letters, digits and dashes",
);

/** A shared secret of at least 32 characters. */
export const secretSchema = z.string().min(32);

/** Format of the log lines and the prefixes that are written. */
export const logsSchema = z.strictObject({
  format: z.enum(["text", "json"]).default("text"),
  /** Comma-separated prefixes to write; `*` is a wildcard, `-` excludes. */
  enabled: z.string().refine(isLogPattern, {
    error: "expected prefixes such as lavenderferry:entry,-lavenderferry:*",
  }).default("lavenderferry:*"),
});

/** Paths of a process's TLS key, its certificate and the CA's, in PEM. */
export const tlsSchema = z.strictObject({
  key: z.string(),
  certificate: z.string(),
  authority: z.string(),
});

/** Limits of the connections of clients over HTTP. */
export const connectionsSchema = z.strictObject({
  /** Connections that are open at a time. */
  connections: z.int().min(1).max(65_535)
    .default(defaultConnectionLimits.connections),
  /** Bytes that are kept behind a request in progress, for each connection. */
  pipelinedBytes: z.int().min(1_024).max(67_108_864)
    .default(defaultConnectionLimits.pipelinedBytes),
  /** Bytes of a body that are discarded after its answer. */
  discardedBytes: z.int().min(1_024).max(67_108_864)
    .default(defaultConnectionLimits.discardedBytes),
  /** Milliseconds without progress of a request's body or of an answer. */
  stalledMs: z.int().min(1_000).max(3_600_000)
    .default(defaultConnectionLimits.stalledMs),
});

/** Members that the settings of every daemon have. */
export const daemonSchema = z.strictObject({
  vm: nameSchema,
  dataCentre: nameSchema,
  region: nameSchema,
  /** Socket on which peers reach this process by gRPC. */
  peers: socketSchema,
  /** Base URL of the platform. */
  platform: baseUrlSchema,
  /** TLS files for connections to peers; required except on loopback. */
  tls: tlsSchema.optional(),
  logs: logsSchema.prefault({}),
  connections: connectionsSchema.prefault({}),
});
