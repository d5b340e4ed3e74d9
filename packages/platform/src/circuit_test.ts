import t from "tap";
import { Circuit, failuresToOpen, longestOpenMs, rampMs } from "./circuit.ts";

function fail(circuit: Circuit, times: number, now: number): void {
  for (let index = 0; index < times; index++) {
    circuit.failed(now);
  }
}

t.test("a circuit opens after failures in a row", (t) => {
  const circuit = new Circuit(() => 0);
  fail(circuit, failuresToOpen - 1, 0);
  t.equal(circuit.state, "closed");
  circuit.succeeded(0);
  fail(circuit, failuresToOpen - 1, 0);
  t.equal(circuit.allow(0), true);
  circuit.failed(0);
  t.equal(circuit.state, "open");
  t.equal(circuit.allow(0), false);
  t.end();
});

t.test("one probe goes out, and decides", (t) => {
  const circuit = new Circuit(() => 0);
  fail(circuit, failuresToOpen, 0);
  t.equal(circuit.allow(250), true);
  t.equal(circuit.allow(250), false, "only one");
  circuit.failed(260);
  t.equal(circuit.waitMs(260), 500);
  t.equal(circuit.allow(760), true);
  circuit.succeeded(770);
  t.equal(circuit.state, "closed");
  t.end();
});

t.test("the waits are bounded and differ between processes", (t) => {
  const waits = [0, 0.25, 0.5, 0.75].map((fraction) => {
    const circuit = new Circuit(() => fraction);
    let now = 0;
    fail(circuit, failuresToOpen, now);
    for (let round = 0; round < 10; round++) {
      now += circuit.waitMs(now);
      circuit.allow(now);
      circuit.failed(now);
    }
    return circuit.waitMs(now);
  });
  t.equal(new Set(waits).size, waits.length);
  t.ok(Math.max(...waits) <= longestOpenMs);
  t.end();
});

t.test("the load grows step by step after a recovery", (t) => {
  const circuit = new Circuit(() => 0);
  t.equal(circuit.share(0), 1);
  fail(circuit, failuresToOpen, 0);
  circuit.allow(250);
  circuit.succeeded(300);
  t.equal(circuit.share(300), 0);
  t.equal(circuit.share(300 + rampMs / 2), 0.5);
  t.equal(circuit.share(300 + rampMs), 1);
  t.end();
});
