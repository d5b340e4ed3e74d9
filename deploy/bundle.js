// Bundles the relay for the users' platform into one file, because a restarted
// process loads one file faster than hundreds of modules.
import { copyFileSync, mkdirSync } from "node:fs";
import { build } from "esbuild";

mkdirSync("target/proto", { recursive: true });
copyFileSync("packages/protocol/proto/peer.proto", "target/proto/peer.proto");
await build({
  entryPoints: ["platform/src/main.ts"],
  outfile: "target/bin/lavenderferry.js",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minify: true,
  tsconfig: "deploy/tsconfig.bundle.json",
  banner: {
    // Dependencies in CommonJS use `require`, `__dirname` and `__filename`,
    // which ES modules do not have.
    js: "import { createRequire as createRequireOf } from 'node:module';" +
      "const require = createRequireOf(import.meta.url);" +
      "const __dirname = import.meta.dirname, __filename = import.meta.filename;",
  },
});
