package org.coltsfootvale.router.serving;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.model.HostPort;

/** Lists the prompt parts in the cache of a replica; this delays the replica's work. */
@FunctionalInterface
public interface CacheInspector {

  /** Returns the ids of the prompt parts that the replica at an address holds. */
  CompletableFuture<List<String>> heldParts(HostPort replica);
}
