import t from "tap";
import { Circuit } from "./circuit.ts";

function opened(): Circuit {
  const circuit = new Circuit();
  for (let index = 0; index < 3; index++) {
    circuit.failed("refused", 0);
  }
  return circuit;
}

t.test("three failures in a row open the circuit", (t) => {
  const circuit = new Circuit();
  circuit.failed("failed", 0);
  circuit.failed("refused", 0);
  t.equal(circuit.stateAt(0), "closed");
  circuit.failed("refused", 0);
  t.equal(circuit.stateAt(0), "open");
  t.equal(circuit.allowance(0), 0);
  t.strictSame([...circuit.reasons], [["failed", 1], ["refused", 2]]);
  t.end();
});

t.test("a success between failures keeps it closed", (t) => {
  const circuit = new Circuit();
  for (let index = 0; index < 10; index++) {
    circuit.failed("refused", index);
    circuit.succeeded(index);
  }
  t.equal(circuit.stateAt(10), "closed");
  t.end();
});

t.test("recovery starts slowly", (t) => {
  const circuit = opened();
  t.equal(circuit.stateAt(499), "open");
  t.equal(circuit.stateAt(500), "probing");
  circuit.succeeded(600);
  t.equal(circuit.allowance(600), 0.25);
  t.equal(circuit.allowance(5_600), 1);
  t.end();
});

t.test("a failed probe opens it for longer", (t) => {
  const circuit = opened();
  circuit.failed("refused", 500);
  t.equal(circuit.stateAt(1_499), "open");
  t.equal(circuit.stateAt(1_500), "probing");
  t.end();
});
