package org.coltsfootvale.core.gossip;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootvale.core.model.RouterId;

/** Selects the entries of one message, ordered by urgency of the class and then by age. */
final class EntryCollector {

  /** The smallest encoded size of an entry; bounds the number of entries read for one message. */
  private static final int ENTRY_BYTES_MIN = 8;

  /** The number up to which deferred entries are counted for each message. */
  private static final int DEFERRED_COUNT_MAX = 50;

  private final EntryStore store;
  private final GossipOptions options;
  private final GossipSizes sizes;
  private final GossipTraffic traffic;
  private final List<GossipEntry> entries = new ArrayList<>();
  private int bytes;

  /** Creates an empty collector. */
  EntryCollector(
      EntryStore store, GossipOptions options, GossipSizes sizes, GossipTraffic traffic) {
    this.store = store;
    this.options = options;
    this.sizes = sizes;
    this.traffic = traffic;
  }

  /** Adds an entry regardless of the budget. */
  void add(GossipEntry entry) {
    entries.add(entry);
    bytes += sizes.ofEntry(entry);
  }

  /** Adds the entries that are due on a link and advances the link's positions. */
  void collect(RouterId to, GossipLink link, Instant now) {
    for (EntryClass entryClass : EntryClass.values()) {
      collectClass(entryClass, to, link, now);
    }
  }

  /** Returns the selected entries. */
  List<GossipEntry> entries() {
    return entries;
  }

  private void collectClass(EntryClass entryClass, RouterId to, GossipLink link, Instant now) {
    boolean load = entryClass == EntryClass.LOAD;
    int bytesBefore = bytes;
    double allowance = traffic.allowance(entryClass, now);
    if (load) {
      allowance = Math.min(allowance, bytes + link.loadBudget.available(now));
    }
    long position = link.position(entryClass);
    if (!store.hasAfter(entryClass, position)) {
      return;
    }
    int affordable = (int) Math.max(0, (allowance - bytes) / ENTRY_BYTES_MIN);
    int entriesMax = Math.min(affordable, options.entriesPerMessageMax() - entries.size());
    if (entriesMax > 0) {
      for (EntryStore.Change change : store.changesAfter(entryClass, position, entriesMax)) {
        if (bytes >= allowance) {
          break;
        }
        position = change.sequence();
        if (!change.holders().contains(to)) {
          add(change.entry());
        }
      }
      link.moveTo(entryClass, position);
    }
    if (load) {
      link.loadBudget.charge(bytes - bytesBefore, now);
    }
    traffic.heldBack(store.countAfter(entryClass, position, DEFERRED_COUNT_MAX));
  }
}
