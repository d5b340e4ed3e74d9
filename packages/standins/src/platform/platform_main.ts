import { announce } from "@lavenderferry/runtime";
import { cac } from "cac";
import { defaultPlatformSizes, PlatformServer } from "./platform_server.ts";

const cli = cac("standin-platform");
cli.option("--ip <ip>", "IP number to listen on", { default: "127.0.0.1" });
cli.option("--port <port>", "Port to listen on", { default: 0 });
cli.option("--sizes <json>", "Sizes that override the defaults", {
  default: "{}",
});
cli.help();
const { options } = cli.parse();

if (!options["help"]) {
  const ip = String(options["ip"]);
  const platform = new PlatformServer({
    ...defaultPlatformSizes,
    ...JSON.parse(String(options["sizes"])),
  });
  const { port } = await platform.start(ip, Number(options["port"]));
  announce("listening", { address: `${ip}:${port}` });
  process.once("SIGTERM", () => process.exit(0));
}
