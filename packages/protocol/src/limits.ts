/** Maximum size of a message between processes, in bytes. */
export const maxMessageBytes = 1_048_576;

/** Calls that one connection of a peer may have in progress. */
export const maxCallsPerConnection = 256;
