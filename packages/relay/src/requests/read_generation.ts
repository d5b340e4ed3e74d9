import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { chainDigests } from "@lavenderferry/policy";
import type { HeaderCodec } from "../ports.ts";
import type { GenerationDemand } from "./relayed_request.ts";

/** Reads the generation that a request asks for, if it asks for one. */
export function readGeneration(
  codec: HeaderCodec,
  headers: IncomingHttpHeaders,
): GenerationDemand | null {
  const prompt = codec.readPrompt(headers);
  if (prompt === null) {
    return null;
  }
  const { blocks, model, ...demand } = prompt;
  return { ...demand, model: nameOf(model), prefix: chainDigests(blocks) };
}

/** Longest name of a model that is kept as it is, in characters. */
const maxModelLength = 256;

/** Returns the name of a model, or a digest if it is too long to be kept. */
function nameOf(model: string): string {
  return model.length <= maxModelLength
    ? model
    : createHash("sha256").update(model).digest("base64url");
}

/** Bytes that the digest of one block takes in a list. */
const digestBytes = 40;

/** Returns the bytes that the digests of a prompt's blocks take. */
export function prefixBytesOf(generation: GenerationDemand | null): number {
  return digestBytes * (generation?.prefix.length ?? 0);
}
