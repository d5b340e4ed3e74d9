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
  const { blocks, ...demand } = prompt;
  return { ...demand, prefix: chainDigests(blocks) };
}
