/** A listening socket. */
export interface Socket {
  readonly ip: string;
  readonly port: number;
}

/** What one relay is started with. */
export interface RelaySettings {
  /** Name of the VM; unique in the fleet. */
  readonly vm: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Where callers send requests. */
  readonly callers: Socket;
  /** Where it is asked whether this process takes requests. */
  readonly readiness: Socket;
  /** Where callers ask for addresses. */
  readonly addresses: Socket;
  /** Where peers reach this process by gRPC. */
  readonly peers: Socket;
  /** Where metrics are read; `null`: nowhere. */
  readonly metrics: Socket | null;
  /** Milliseconds that running work may take after a planned stop. */
  readonly stopMs: number;
  /** Repeated requests in a window that all processes may send together. */
  readonly repeats: number;
  /** Repeated requests for each first one. */
  readonly repeatShare: number;
}
