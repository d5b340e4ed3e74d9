/** URL of the program that starts a system on loopback and shows its parts. */
export const quickstartProgram: URL = new URL("./main.js", import.meta.url);
