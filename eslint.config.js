import jsdoc from "eslint-plugin-jsdoc";
import unicorn from "eslint-plugin-unicorn";
import tseslint from "typescript-eslint";

export default tseslint.config(
  {
    ignores: [
      "**/build/**",
      "**/generated/**",
      "tap-snapshots/**",
      "target/**",
    ],
  },
  ...tseslint.configs.strict,
  {
    files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: { jsdoc, unicorn },
    rules: {
      "@typescript-eslint/consistent-type-imports": "error",
      "@typescript-eslint/no-floating-promises": "error",
      "@typescript-eslint/no-unused-vars": [
        "error",
        { argsIgnorePattern: "^_" },
      ],
      "@typescript-eslint/no-misused-promises": "error",
      "@typescript-eslint/switch-exhaustiveness-check": "error",
      "@typescript-eslint/explicit-module-boundary-types": "error",
      "@typescript-eslint/prefer-readonly": "error",
      "@typescript-eslint/no-extraneous-class": "off",
      "@typescript-eslint/no-non-null-assertion": "error",
      "func-style": ["error", "declaration", { allowArrowFunctions: true }],
      "max-params": ["error", 3],
      "no-console": "error",
      "no-restricted-syntax": [
        "error",
        {
          selector: "TSEnumDeclaration",
          message: "Use a constant object instead of an enum.",
        },
        {
          selector:
            ":matches(PropertyDefinition, MethodDefinition)[accessibility='private']",
          message: "Use a #private member.",
        },
      ],
      "no-restricted-imports": [
        "error",
        {
          paths: ["child_process", "node:child_process", "cluster"],
        },
      ],
      "unicorn/filename-case": ["error", { case: "snakeCase" }],
      "unicorn/prefer-node-protocol": "error",
      "jsdoc/require-jsdoc": [
        "error",
        {
          publicOnly: true,
          require: {
            ClassDeclaration: true,
            FunctionDeclaration: true,
            MethodDefinition: false,
          },
          contexts: [
            "TSInterfaceDeclaration",
            "TSTypeAliasDeclaration",
            "ExportNamedDeclaration > VariableDeclaration",
          ],
          checkConstructors: false,
        },
      ],
    },
  },
  {
    files: ["packages/{bench,proof,quickstart}/src/**/*.ts", "**/*_test.ts"],
    rules: { "no-restricted-imports": "off", "no-console": "off" },
  },
  {
    files: ["**/*_test.ts"],
    rules: { "@typescript-eslint/no-floating-promises": "off" },
  },
);
