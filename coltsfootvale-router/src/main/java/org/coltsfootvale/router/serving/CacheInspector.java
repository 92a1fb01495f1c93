package org.coltsfootvale.router.serving;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.model.HostPort;

/** Asks a replica which parts of prompts its cache holds; this delays the replica's work. */
@FunctionalInterface
public interface CacheInspector {

  /** Returns the ids of the parts that the replica at an address holds. */
  CompletableFuture<List<String>> heldParts(HostPort replica);
}
