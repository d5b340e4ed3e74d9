import t from "tap";
import { drawTrace } from "./arrival_trace.ts";
import { scenarios } from "./scenarios.ts";

for (const scenario of scenarios.values()) {
  t.test(`${scenario.name}: the trace is ordered and reproducible`, (t) => {
    const trace = drawTrace(scenario, 7);
    const text = JSON.stringify(trace);
    t.ok(JSON.stringify(drawTrace(scenario, 7)) === text);
    t.ok(JSON.stringify(drawTrace(scenario, 8)) !== text);
    const arrivalTimesMs = trace.map(({ atMs }) => atMs);
    t.ok(
      arrivalTimesMs.every((timeMs, index) =>
        timeMs >= (arrivalTimesMs[index - 1] ?? 0)
      ),
    );
    const endMs = scenario.phases.reduce(
      (sum, phase) => sum + phase.durationMs,
      0,
    );
    t.ok(arrivalTimesMs.every((timeMs) => timeMs >= 0 && timeMs < endMs));
    t.ok(trace.every(({ workClass }) => workClass in scenario.classes));
    t.end();
  });
}

t.test("the mean arrival rate is the load times the capacity", (t) => {
  const kowalczyk = scenarios.get("kowalczyk");
  t.ok(kowalczyk !== undefined);
  if (kowalczyk !== undefined) {
    const phases = [{ durationMs: 2_000_000, load: 0.8 }];
    const trace = drawTrace({ ...kowalczyk, phases }, 1);
    const rate = trace.length / 2_000 / kowalczyk.capacityPerSecond;
    t.ok(Math.abs(rate - 0.8) < 0.04, `rate ${rate}`);
  }
  t.end();
});

t.test("prompts contain the output length for the stand-in engine", (t) => {
  const scenario = scenarios.get("prefix");
  t.ok(scenario !== undefined);
  for (const arrival of scenario ? drawTrace(scenario, 1).slice(0, 50) : []) {
    t.match(arrival.prompt, `[out:${arrival.outputTokens}]`);
  }
  t.end();
});
