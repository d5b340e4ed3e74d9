import { cac } from "cac";
import { reportDecisionCost } from "./load/decision_cost.ts";
import { runBench } from "./load/run_bench.ts";

const cli = cac("bench");
cli.option("--scenario <name>", "Scenario, or decisions for dispatch cost", {
  default: "kowalczyk",
});
cli.option("--policy <names>", "Comma-separated policies", {
  default: "round_robin,least_load,adaptive",
});
cli.option("--seed <n>", "Seed of the trace", { default: 1 });
cli.option("--load <factor>", "Factor on the load of every phase", {
  default: 1,
});
cli.help();
const { options } = cli.parse();

if (!options["help"]) {
  const scenario = String(options["scenario"]);
  if (scenario === "decisions") {
    reportDecisionCost();
  } else {
    await runBench({
      scenario,
      policies: String(options["policy"]).split(","),
      seed: Number(options["seed"]),
      loadFactor: Number(options["load"]),
    });
  }
}
