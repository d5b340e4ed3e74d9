import t from "tap";
import { codec } from "../fixtures/upstream_socket.ts";
import type { PromptMetadata } from "../ports.ts";
import { prefixBytesOf, readGeneration } from "./read_generation.ts";

function read(change: Partial<PromptMetadata>) {
  const prompt: PromptMetadata = {
    model: "m",
    promptTokens: 100,
    maxTokens: 40,
    blocks: ["a:50", "b:50"],
    sharedBlocks: ["a"],
    ...change,
  };
  return readGeneration({ ...codec, readPrompt: () => prompt }, {});
}

// Blocks were kept as the texts of all blocks up to them.
t.test("what is kept of a prompt grows by the same for each block", (t) => {
  const countText = (blocks: readonly string[]) =>
    read({ blocks })?.prefix.join("").length ?? 0;
  const blocks = Array.from({ length: 3_900 }, () => "0:1");
  t.equal(countText(blocks), 1_300 * countText(blocks.slice(0, 3)));
  t.equal(countText(["f".repeat(15_000)]), countText(["0"]));
  t.equal(prefixBytesOf(read({ blocks })), 3_900 * 40);
  t.equal(prefixBytesOf(null), 0);
  t.end();
});

// Lengths of outputs are learned by model, and callers choose its name.
t.test("the name of a model is bounded", (t) => {
  const long = "m".repeat(15_000);
  t.equal(read({ model: long })?.model.length, 43);
  t.not(read({ model: long })?.model, read({ model: `${long}n` })?.model);
  t.equal(read({ model: "m/7b" })?.model, "m/7b");
  t.end();
});
