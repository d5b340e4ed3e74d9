import t from "tap";
import { drawTrace } from "./arrival_trace.ts";
import { scenarios } from "./scenarios.ts";

for (const scenario of scenarios.values()) {
  t.test(`the trace of ${scenario.name}`, (t) => {
    const trace = drawTrace(scenario, 7);
    const text = JSON.stringify(trace);
    t.ok(JSON.stringify(drawTrace(scenario, 7)) === text);
    t.ok(JSON.stringify(drawTrace(scenario, 8)) !== text);
    const times = trace.map(({ atMs }) => atMs);
    t.ok(times.every((each, index) => each >= (times[index - 1] ?? 0)));
    const end = scenario.phases.reduce((sum, each) => sum + each.durationMs, 0);
    t.ok(times.every((each) => each >= 0 && each < end));
    t.ok(trace.every(({ workClass }) => workClass in scenario.classes));
    t.end();
  });
}

t.test("the mean rate is the load's share of the capacity", (t) => {
  const base = scenarios.get("kowalczyk");
  t.ok(base !== undefined);
  if (base !== undefined) {
    const phases = [{ durationMs: 2_000_000, load: 0.8 }];
    const trace = drawTrace({ ...base, phases }, 1);
    const rate = trace.length / 2_000 / base.capacity;
    t.ok(Math.abs(rate - 0.8) < 0.04, `rate ${rate}`);
  }
  t.end();
});

t.test("the prompt tells the stand-in engine the length", (t) => {
  const scenario = scenarios.get("prefix");
  t.ok(scenario !== undefined);
  for (const arrival of scenario ? drawTrace(scenario, 1).slice(0, 50) : []) {
    t.match(arrival.prompt, `[out:${arrival.outputTokens}]`);
  }
  t.end();
});
