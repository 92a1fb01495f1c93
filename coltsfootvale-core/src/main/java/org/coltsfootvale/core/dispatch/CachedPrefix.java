package org.coltsfootvale.core.dispatch;

import java.util.Optional;
import org.coltsfootvale.core.model.HostPort;

/**
 * The cache state of a prompt's shared parts, as assumed when the request is placed.
 *
 * @param sharedTokens the tokens of all shared parts
 * @param heldTokens the tokens of the longest prefix that the chosen replica holds
 * @param fetchTokens the tokens of the longest prefix that can be fetched from another replica, 0
 *     if none
 * @param source the address of the replica to fetch the prefix from, if any
 * @param holders the number of replicas in use that hold all shared parts
 */
public record CachedPrefix(
    int sharedTokens, int heldTokens, int fetchTokens, Optional<HostPort> source, int holders) {

  /** The value for a request without a prompt. */
  static final CachedPrefix NONE = new CachedPrefix(0, 0, 0, Optional.empty(), 0);
}
