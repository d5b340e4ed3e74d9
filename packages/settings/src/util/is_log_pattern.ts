const termPattern = /^-?[A-Za-z0-9_:*]+$/;

/** Returns whether a text is a comma-separated list of log prefixes. */
export function isLogPattern(text: string): boolean {
  return text === "" || text.split(",").every((term) => termPattern.test(term));
}
