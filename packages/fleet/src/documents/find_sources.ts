import type { Link } from "../link.ts";
import type { DocumentSource } from "./document_fetch.ts";

/** Returns the linked peers that serve a newer version than the one held. */
export function findSources(
  links: readonly Link[],
  { heldVersion, isNear }: {
    readonly heldVersion: number;
    readonly isNear: (peer: string) => boolean;
  },
): readonly DocumentSource[] {
  return links
    .filter(({ readsDocuments, address, configurationVersion }) =>
      readsDocuments && address !== "" && configurationVersion > heldVersion
    )
    .map(({ id, address, configurationVersion: version }) => ({
      peer: id,
      address,
      version,
      isNear: isNear(id),
    }));
}
