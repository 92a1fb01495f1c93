package org.coltsfootvale.core.dispatch;

import java.util.Optional;
import org.coltsfootvale.core.model.HostPort;

/**
 * How much of the shared parts of a prompt is taken to be in caches when the request is placed.
 *
 * @param sharedTokens the tokens of all shared parts
 * @param heldTokens the tokens of the longest beginning that the chosen replica holds
 * @param fetchTokens the tokens of the longest beginning that another replica gives it, 0 if none
 * @param source the replica that gives it, if any
 * @param holders the replicas in use that hold all shared parts
 */
public record CachedPrefix(
    int sharedTokens, int heldTokens, int fetchTokens, Optional<HostPort> source, int holders) {

  /** Describes a request without a prompt. */
  static final CachedPrefix NONE = new CachedPrefix(0, 0, 0, Optional.empty(), 0);
}
