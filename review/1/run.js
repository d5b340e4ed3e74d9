// An instance of a plain service spoils the heads of some answers. See claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { playSpoiltAnswers } from "../standins/play_spoilt_answers.js";
import { runCase } from "../standins/run_case.js";

/** Whether the run includes the disruption. */
const trouble = process.env.TROUBLE !== "0";

/**
 * Returns an answer in which one byte of a header's name or of the status is
 * wrong; id, proof, length and body are right.
 */
function spoil({ headers, text }, count) {
  const isStatus = count % 2 === 1;
  const lines = Object.entries(headers).map(([name, value]) =>
    `${
      isStatus ? name : name.replace("content-type", "content type")
    }: ${value}`
  );
  const head = [`HTTP/1.1 ${isStatus ? "000" : "200"} OK`, ...lines];
  return {
    what: isStatus ? "the status" : "a header's name",
    replacement: { bytes: `${head.join("\r\n")}\r\n\r\n${text}` },
  };
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  (record) => playSpoiltAnswers(record, { trouble, spoil }),
);
