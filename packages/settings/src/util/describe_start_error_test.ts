import { KnownError } from "@lavenderferry/errors";
import t from "tap";
import { describeStartError } from "./describe_start_error.ts";

const cases: readonly (readonly [error: unknown, expected: string])[] = [
  [
    new Error("listen EADDRINUSE: address already in use 127.0.0.1:80"),
    "Cannot listen on 127.0.0.1:80: the port is in use",
  ],
  [
    new Error("listen EACCES: permission denied 127.0.0.1:80"),
    "Cannot listen on 127.0.0.1:80: the port may not be used",
  ],
  [
    new Error("listen EADDRNOTAVAIL: address not available ::2:80"),
    "Cannot listen on ::2:80: the IP number does not belong to this VM",
  ],
  [
    new Error(
      "No address added out of total 1 resolved errors: " +
        "[listen EADDRINUSE: address already in use 127.0.0.1:80]",
    ),
    "Cannot listen on 127.0.0.1:80: the port is in use",
  ],
  [new KnownError("Busy", { kind: "overloaded" }), "Busy"],
  [new Error("Broken"), "Broken"],
];

t.test("errors of listen are explained, others keep their message", (t) => {
  for (const [error, expected] of cases) {
    t.equal(describeStartError(error), expected);
  }
  t.end();
});
