/**
 * URL of the program that starts a whole system on the loopback interface and
 * sends requests through it.
 */
export const quickstartProgram: URL = new URL("./main.js", import.meta.url);
