import { announce } from "@lavenderferry/runtime";
import { cac } from "cac";
import { defaultEngineSizes } from "./engine_model.ts";
import { EngineServer } from "./engine_server.ts";

const cli = cac("standin-engine");
cli.option("--ip <ip>", "IP number to listen on", { default: "127.0.0.1" });
cli.option("--port <port>", "Port to listen on", { default: 0 });
cli.option("--models <names>", "Comma-separated names of models", {
  default: "base",
});
cli.option("--report-lag-ms <ms>", "Age of the reported load", {
  default: 500,
});
cli.option("--orphan-ms <ms>", "Cancels unread generations after this", {
  default: 10_000,
});
cli.option("--checks-fence", "Refuses orders with a stale fence");
cli.option("--weights <url>", "Base URL of the weight store");
cli.option("--cache-event-lag-ms <ms>", "Delay of cache events", {
  default: 0,
});
cli.option("--lose-cache-event <n>", "Drops every n-th cache event", {
  default: 0,
});
cli.option("--sizes <json>", "Sizes that override the defaults", {
  default: "{}",
});
cli.help();
const { options } = cli.parse();

if (!options["help"]) {
  const engine = new EngineServer({
    ip: String(options["ip"]),
    port: Number(options["port"]),
    models: String(options["models"]).split(","),
    sizes: { ...defaultEngineSizes, ...JSON.parse(String(options["sizes"])) },
    reportLagMs: Number(options["reportLagMs"]),
    orphanTimeoutMs: Number(options["orphanMs"]),
    checksFence: options["checksFence"] === true,
    weightStoreUrl: options["weights"] as string | undefined,
    cacheEvents: {
      lagMs: Number(options["cacheEventLagMs"]),
      loseEvery: Number(options["loseCacheEvent"]),
    },
    onReclaimed: () => process.exit(1),
  });
  const port = await engine.start();
  announce("listening", { address: `${options["ip"]}:${port}` });
  process.once("SIGTERM", () => {
    void engine.drain().then(() => {
      engine.close();
      process.exit(0);
    });
  });
}
