package org.coltsfootvale.core.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The keys of a prefix as they are known up to a position of the store. Tells what is news in a
 * reading or a change, which several routers may tell, in any order. Confined to one thread.
 */
final class PrefixState {

  private final Map<String, StoreEntry> entries = new HashMap<>();
  private StorePosition position = StorePosition.NONE;
  private long latestRevision;

  /** Returns the position up to which the keys are known. */
  StorePosition position() {
    return position;
  }

  /** Returns the position of the latest change that was seen. */
  StorePosition latestChange() {
    return new StorePosition(position.era(), latestRevision);
  }

  /** Returns all keys. */
  List<StoreEntry> all() {
    return List.copyOf(entries.values());
  }

  /** Returns whether something begins an era after the one that the keys are known from. */
  boolean precedesEraOf(StorePosition other) {
    return position.era() > 0 && position.era() < other.era();
  }

  /**
   * Takes all keys as they are at a position, and returns the differences. Entries of another era
   * always differ: their revisions cannot be compared.
   */
  List<StoreEntry> replaceAll(List<StoreEntry> latest, StorePosition at) {
    boolean sameEra = at.era() == position.era();
    Map<String, StoreEntry> before = new HashMap<>(entries);
    List<StoreEntry> news = new ArrayList<>();
    entries.clear();
    latestRevision = sameEra ? latestRevision : 0;
    for (StoreEntry entry : latest) {
      entries.put(entry.key(), entry);
      latestRevision = Math.max(latestRevision, entry.revision());
      StoreEntry old = before.remove(entry.key());
      if (!sameEra || old == null || old.revision() != entry.revision()) {
        news.add(entry);
      }
    }
    before.keySet().forEach(key -> news.add(new StoreEntry(key, Optional.empty(), at.revision())));
    position = at;
    return news;
  }

  /**
   * Takes changes of the era that the keys are known from, and returns those that were news. Pages
   * of a reading are read one after the other, so that a change may be older than what is known.
   */
  List<StoreEntry> applyChanges(List<StoreEntry> changes, StorePosition at) {
    List<StoreEntry> news = new ArrayList<>();
    for (StoreEntry entry : changes) {
      latestRevision = Math.max(latestRevision, entry.revision());
      if (changed(entry)) {
        news.add(entry);
      }
    }
    if (position.isBefore(at)) {
      position = at;
    }
    return news;
  }

  private boolean changed(StoreEntry entry) {
    StoreEntry before = entries.get(entry.key());
    boolean older = before != null && entry.revision() <= before.revision();
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
