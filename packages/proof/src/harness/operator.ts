import type { Statement } from "@lavenderferry/configuration";
import { request } from "undici";

/** Client of the operators' interface of one steward. */
export class Operator {
  readonly #key: string;
  readonly #url: string;

  constructor(url: string, key: string) {
    this.#key = key;
    this.#url = `${url}/operator/v1`;
  }

  /** Reads the document at a path below `/operator/v1`. */
  async get(path: string): Promise<Record<string, unknown>> {
    const response = await request(`${this.#url}/${path}`, {
      headers: { authorization: `Bearer ${this.#key}` },
    });
    return await response.body.json() as Record<string, unknown>;
  }

  /** Asks a process for a planned stop and returns the HTTP status. */
  async drain(vm: string): Promise<number> {
    const response = await request(`${this.#url}/drain/${vm}`, {
      method: "POST",
      headers: { authorization: `Bearer ${this.#key}` },
    });
    await response.body.dump();
    return response.statusCode;
  }

  /** Applies a configuration if `ifVersion` is still the current version. */
  async apply(
    statement: Statement,
    ifVersion: number,
  ): Promise<{ status: number; body: Record<string, unknown> }> {
    const response = await request(`${this.#url}/configuration`, {
      method: "PUT",
      headers: {
        authorization: `Bearer ${this.#key}`,
        "content-type": "application/json",
        "if-match": `"${ifVersion}"`,
      },
      body: JSON.stringify(statement),
    });
    const body = await response.body.json() as Record<string, unknown>;
    return { status: response.statusCode, body };
  }
}
