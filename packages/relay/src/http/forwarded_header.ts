/**
 * Name in lower case of the header that marks requests from peers. A caller that
 * sets it only forgoes that its request is forwarded.
 */
export const forwardedHeader = "lavenderferry-forwarded";
