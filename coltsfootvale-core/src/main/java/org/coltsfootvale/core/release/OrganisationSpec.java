package org.coltsfootvale.core.release;

import java.util.List;
import org.coltsfootvale.core.model.OrganisationId;

/**
 * An organisation as defined by a release note.
 *
 * @param id its name
 * @param keyHashes SHA-256 of each key in lower-case hexadecimal; at least one
 * @param weight its relative share when the fleet is saturated, more than 0
 * @param requestsPerSecond its fleet-wide limit of requests per second, more than 0
 * @param tokensPerSecond its fleet-wide limit of prompt and answer tokens per second, more than 0
 */
public record OrganisationSpec(
    OrganisationId id,
    List<String> keyHashes,
    double weight,
    double requestsPerSecond,
    double tokensPerSecond) {

  /** Copies the list. */
  public OrganisationSpec {
    keyHashes = List.copyOf(keyHashes);
  }
}
