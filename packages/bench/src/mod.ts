/** Load driver, scenarios and reports. */
export {};
