package org.coltsfootvale.router.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts the messages that a router sends to other routers, by kind and cause. Thread-safe. */
public final class PeerMessageMetrics {

  /** What a message holds. */
  public enum Kind {
    /** The state of one or more routers. */
    UPDATE,
    /** Changes of a prefix of the store. */
    CHANGES,
    /** All entries of a prefix of the store, after a restore. */
    FULL_STATE,
    /** A report that the store has recovered from an outage. */
    RECOVERY,
    /** A request for all entries of a prefix of the store. */
    STATE_REQUEST
  }

  /** Why a message is sent. */
  public enum Cause {
    /** The exchange at regular intervals. */
    INTERVAL,
    /** This router observed a change at the store. */
    STORE,
    /** This router passes on what it received from another router. */
    PEER,
    /** The store has not answered this router. */
    STORE_LOST,
    /** Another router has seen changes that this one lacks. */
    BEHIND_PEER
  }

  private final Map<Key, LongAdder> counts = new ConcurrentHashMap<>();

  /** Creates metrics without counts. */
  public PeerMessageMetrics() {}

  /** Records messages that are sent. */
  public void record(Kind kind, Cause cause, int messages) {
    counts.computeIfAbsent(new Key(kind, cause), key -> new LongAdder()).add(messages);
  }

  /** Registers all counts. */
  void bindTo(MeterRegistry registry) {
    counts.forEach(
        (key, count) ->
            FunctionCounter.builder("coltsfootvale.peer.messages", count, LongAdder::doubleValue)
                .tags("kind", label(key.kind()), "cause", label(key.cause()))
                .register(registry));
  }

  private static String label(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  private record Key(Kind kind, Cause cause) {}
}
