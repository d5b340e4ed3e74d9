import t from "tap";
import { Circuit } from "./circuit.ts";

function openCircuit(): Circuit {
  const circuit = new Circuit();
  for (let index = 0; index < 3; index++) {
    circuit.recordFailure("refused", 0);
  }
  return circuit;
}

t.test("opens after three consecutive failures", (t) => {
  const circuit = new Circuit();
  circuit.recordFailure("failed", 0);
  circuit.recordFailure("refused", 0);
  t.equal(circuit.stateAt(0), "closed");
  circuit.recordFailure("refused", 0);
  t.equal(circuit.stateAt(0), "open");
  t.equal(circuit.allowanceAt(0), 0);
  t.strictSame([...circuit.failuresByReason], [["failed", 1], ["refused", 2]]);
  t.end();
});

t.test("stays closed when successes separate the failures", (t) => {
  const circuit = new Circuit();
  for (let index = 0; index < 10; index++) {
    circuit.recordFailure("refused", index);
    circuit.recordSuccess(index);
  }
  t.equal(circuit.stateAt(10), "closed");
  t.end();
});

t.test("raises the allowance gradually after recovery", (t) => {
  const circuit = openCircuit();
  t.equal(circuit.stateAt(499), "open");
  t.equal(circuit.stateAt(500), "halfOpen");
  circuit.recordSuccess(600);
  t.equal(circuit.allowanceAt(600), 0.25);
  t.equal(circuit.allowanceAt(5_600), 1);
  t.end();
});

t.test("opens for longer after a failure in the half-open state", (t) => {
  const circuit = openCircuit();
  circuit.recordFailure("refused", 500);
  t.equal(circuit.stateAt(1_499), "open");
  t.equal(circuit.stateAt(1_500), "halfOpen");
  t.end();
});
