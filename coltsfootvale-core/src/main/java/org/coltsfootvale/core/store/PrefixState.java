package org.coltsfootvale.core.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The local copy of a prefix up to a store position. Filters out changes that are already applied,
 * since several routers may send the same ones in any order. Confined to one thread.
 */
final class PrefixState {

  private final Map<String, StoreEntry> entries = new HashMap<>();
  private StorePosition position = StorePosition.NONE;
  private long latestRevision;

  /** Returns the position up to which changes are applied. */
  StorePosition position() {
    return position;
  }

  /** Returns the position of the latest observed change. */
  StorePosition latestChange() {
    return new StorePosition(position.era(), latestRevision);
  }

  /** Returns all entries. */
  List<StoreEntry> all() {
    return List.copyOf(entries.values());
  }

  /** Returns whether another position belongs to a later era; false before the first read. */
  boolean precedesEraOf(StorePosition other) {
    return position.era() > 0 && position.era() < other.era();
  }

  /**
   * Replaces all entries by those of a position and returns the differences. Entries of another era
   * always differ, because revisions cannot be compared between eras.
   */
  List<StoreEntry> replaceAll(List<StoreEntry> latest, StorePosition at) {
    boolean sameEra = at.era() == position.era();
    Map<String, StoreEntry> previous = new HashMap<>(entries);
    List<StoreEntry> differences = new ArrayList<>();
    entries.clear();
    latestRevision = sameEra ? latestRevision : 0;
    for (StoreEntry entry : latest) {
      entries.put(entry.key(), entry);
      latestRevision = Math.max(latestRevision, entry.revision());
      StoreEntry old = previous.remove(entry.key());
      if (!sameEra || old == null || old.revision() != entry.revision()) {
        differences.add(entry);
      }
    }
    previous
        .keySet()
        .forEach(key -> differences.add(new StoreEntry(key, Optional.empty(), at.revision())));
    position = at;
    return differences;
  }

  /**
   * Applies changes of the current era and returns those that were new. The pages of a full read
   * are no snapshot, so a change may be older than the entry held.
   */
  List<StoreEntry> applyChanges(List<StoreEntry> changes, StorePosition at) {
    List<StoreEntry> applied = new ArrayList<>();
    for (StoreEntry entry : changes) {
      latestRevision = Math.max(latestRevision, entry.revision());
      if (applyIfNewer(entry)) {
        applied.add(entry);
      }
    }
    if (position.isBefore(at)) {
      position = at;
    }
    return applied;
  }

  private boolean applyIfNewer(StoreEntry entry) {
    StoreEntry previous = entries.get(entry.key());
    boolean older = previous != null && entry.revision() <= previous.revision();
    if (older || entry.revision() <= position.revision()) {
      return false;
    }
    if (entry.value().isPresent()) {
      entries.put(entry.key(), entry);
    } else {
      entries.remove(entry.key());
    }
    return true;
  }
}
