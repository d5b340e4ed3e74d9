import { fileURLToPath } from "node:url";
import { loadPackageDefinition } from "@grpc/grpc-js";
import { loadSync } from "@grpc/proto-loader";
import type { ProtoGrpcType } from "./generated/peer.ts";

const protoPath = fileURLToPath(
  new URL("../proto/peer.proto", import.meta.url),
);

const definition = loadSync(protoPath, {
  longs: Number,
  enums: String,
  defaults: true,
  arrays: true,
  oneofs: true,
});

const loaded = loadPackageDefinition(definition) as unknown as ProtoGrpcType;

/** Client class of the Peer service, which also holds its definition. */
export const peerService = loaded.lavenderferry.v1.Peer;
