/** Maximum size of a message between processes, in bytes. */
export const maxMessageBytes = 1_048_576;
