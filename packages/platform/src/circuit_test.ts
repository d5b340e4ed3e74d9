import t from "tap";
import { Circuit, failuresToOpen, maxOpenMs, rampMs } from "./circuit.ts";

function fail(circuit: Circuit, times: number, now: number): void {
  for (let index = 0; index < times; index++) {
    circuit.recordFailure(now);
  }
}

t.test("a circuit opens after consecutive failures", (t) => {
  const circuit = new Circuit(() => 0);
  fail(circuit, failuresToOpen - 1, 0);
  t.equal(circuit.state, "closed");
  circuit.recordSuccess(0);
  fail(circuit, failuresToOpen - 1, 0);
  t.equal(circuit.allow(0), true);
  circuit.recordFailure(0);
  t.equal(circuit.state, "open");
  t.equal(circuit.allow(0), false);
  t.end();
});

t.test("the result of a single probe reopens or closes the circuit", (t) => {
  const circuit = new Circuit(() => 0);
  fail(circuit, failuresToOpen, 0);
  t.equal(circuit.allow(250), true);
  t.equal(circuit.allow(250), false, "one probe at a time");
  circuit.recordFailure(260);
  t.equal(circuit.waitMs(260), 500);
  t.equal(circuit.allow(760), true);
  circuit.recordSuccess(770);
  t.equal(circuit.state, "closed");
  t.end();
});

t.test("open times are bounded and differ between processes", (t) => {
  const waits = [0, 0.25, 0.5, 0.75].map((fraction) => {
    const circuit = new Circuit(() => fraction);
    let now = 0;
    fail(circuit, failuresToOpen, now);
    for (let probe = 0; probe < 10; probe++) {
      now += circuit.waitMs(now);
      circuit.allow(now);
      circuit.recordFailure(now);
    }
    return circuit.waitMs(now);
  });
  t.equal(new Set(waits).size, waits.length);
  t.ok(Math.max(...waits) <= maxOpenMs);
  t.end();
});

t.test("the concurrency grows gradually after a recovery", (t) => {
  const circuit = new Circuit(() => 0);
  t.equal(circuit.concurrencyShare(0), 1);
  fail(circuit, failuresToOpen, 0);
  circuit.allow(250);
  circuit.recordSuccess(300);
  t.equal(circuit.concurrencyShare(300), 0);
  t.equal(circuit.concurrencyShare(300 + rampMs / 2), 0.5);
  t.equal(circuit.concurrencyShare(300 + rampMs), 1);
  t.end();
});
