/** Largest part of a document in one message: 26 ms of a link of 10 Mbit/s. */
export const maxPartBytes = 32_768;

/** Bytes per millisecond of a narrow link, of 10 Mbit/s. */
export const narrowBytesPerMs = 1_250;

/**
 * Milliseconds for the answer with one part, which a link of 1 Mbit/s transfers in
 * 262 ms; three silent peers are passed over within the bound of 3 s.
 */
export const partTimeoutMs = 800;

/** Largest compressed document that is received, in bytes. */
export const maxContentBytes = 4_194_304;

/** Longest document that is decompressed, in bytes. */
export const maxDocumentBytes = 16_777_216;
