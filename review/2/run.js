// An instance of a plain service sends some answers without end. See claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { playSpoiltAnswers } from "../standins/play_spoilt_answers.js";
import { runCase } from "../standins/run_case.js";

/** Whether the run includes the disruption. */
const trouble = process.env.TROUBLE !== "0";

/** Bytes of the body that the engine sends at a time, each as one chunk. */
const chunk = "no answer\n";

/** Returns an answer whose head is right and whose body does not end. */
function spoil({ headers }) {
  const lines = Object.entries(headers)
    .filter(([name]) => name !== "content-length")
    .map(([name, value]) => `${name}: ${value}`);
  const head = ["HTTP/1.1 200 OK", ...lines, "transfer-encoding: chunked"];
  return {
    what: "a body without end",
    replacement: {
      bytes: `${head.join("\r\n")}\r\n\r\n`,
      endless: `${chunk.length.toString(16)}\r\n${chunk}\r\n`,
    },
  };
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  (record) => playSpoiltAnswers(record, { trouble, spoil }),
);
