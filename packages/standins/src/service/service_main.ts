import { announce } from "@lavenderferry/runtime";
import { cac } from "cac";
import { ServiceServer } from "./service_server.ts";

const cli = cac("standin-service");
cli.option("--ip <ip>", "IP number to listen on", { default: "127.0.0.1" });
cli.option("--port <port>", "Port to listen on", { default: 0 });
cli.option("--work-ms <ms>", "Duration of a call", { default: 2 });
cli.option("--pool <name>", "Name of the pool", { default: "service" });
cli.option("--platform <url>", "Base URL of the platform that stores the runs");
cli.help();
const { options } = cli.parse();

if (!options["help"]) {
  const ip = String(options["ip"]);
  const service = new ServiceServer({
    ip,
    port: Number(options["port"]),
    pool: String(options["pool"]),
    workMs: Number(options["workMs"]),
    platformUrl: options["platform"] as string | undefined,
  });
  const port = await service.start();
  announce("listening", { address: `${ip}:${port}` });
  process.once("SIGTERM", () => {
    void service.drain().then(() => process.exit(0));
  });
}
