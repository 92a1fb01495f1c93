package org.coltsfootvale.core.gossip;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootvale.core.model.RouterId;

/** Picks the entries of one message, the most urgent class first and oldest first within it. */
final class EntryCollector {

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

  /** Adds an entry whatever the budget. */
  void add(GossipEntry entry) {
    entries.add(entry);
    bytes += sizes.ofEntry(entry);
  }

  /** Adds what is due on a link and moves the link's positions. */
  void collect(RouterId to, GossipLink link, Instant now) {
    for (EntryClass entryClass : EntryClass.values()) {
      collectClass(entryClass, to, link, now);
    }
  }

  /** Returns the picked entries. */
  List<GossipEntry> entries() {
    return entries;
  }

  private void collectClass(EntryClass entryClass, RouterId to, GossipLink link, Instant now) {
    double allowance = traffic.allowance(entryClass, now);
    int room = options.entriesPerMessageMax() - entries.size();
    long position = link.position(entryClass);
    if (room > 0 && bytes < allowance) {
      for (EntryStore.Change change : store.changesAfter(entryClass, position, room)) {
        if (bytes >= allowance) {
          break;
        }
        position = change.sequence();
        if (!to.equals(change.learntFrom())) {
          add(change.entry());
        }
      }
      link.moveTo(entryClass, position);
    }
    int waiting = store.countAfter(entryClass, position);
    if (waiting > 0) {
      traffic.heldBack(waiting);
    }
  }
}
