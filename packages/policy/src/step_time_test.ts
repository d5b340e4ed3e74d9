import t from "tap";
import { StepTime } from "./step_time.ts";

t.test("learns the step time as a linear function of the load", (t) => {
  const stepTime = new StepTime();
  for (let index = 0; index < 500; index++) {
    const running = 1 + index % 20;
    stepTime.observe(running, 10 + running);
  }
  for (const running of [1, 10, 30]) {
    t.ok(Math.abs(stepTime.expectedMs(running) - (10 + running)) < 1);
  }
  t.end();
});

t.test("ignores preemptions", (t) => {
  const stepTime = new StepTime();
  for (let index = 0; index < 100; index++) {
    stepTime.observe(5, index % 10 === 0 ? 2_000 : 20);
  }
  t.ok(Math.abs(stepTime.expectedMs(5) - 20) < 1);
  t.end();
});
