/** Interval between exchanges with one peer. */
export const exchangeIntervalMs = 1_000;

/** The interval with peers of a large fleet that do not read for others. */
export const sparseExchangeIntervalMs = 2_000;
