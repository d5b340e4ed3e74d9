import type { Link } from "../link.ts";
import type { Membership } from "../membership.ts";
import type { DocumentSource } from "./document_fetch.ts";

/** Returns the linked peers that serve a newer version than the one held. */
export function findSources(
  links: readonly Link[],
  { heldVersion, membership }: {
    readonly heldVersion: number;
    readonly membership: Membership;
  },
): readonly DocumentSource[] {
  const { dataCentre } = membership.self;
  return links
    .filter(({ readsDocuments, address, configurationVersion }) =>
      readsDocuments && address !== "" && configurationVersion > heldVersion
    )
    .map(({ id, address, configurationVersion: version }) => ({
      peer: id,
      address,
      version,
      isNear: membership.get(id)?.dataCentre === dataCentre,
    }));
}
