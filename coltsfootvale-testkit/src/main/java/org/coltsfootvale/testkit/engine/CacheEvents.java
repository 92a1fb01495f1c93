package org.coltsfootvale.testkit.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import org.coltsfootvale.testkit.support.Json;

/** The cache events of an engine: delayed, with gaps, and bounded in number. Thread-safe. */
final class CacheEvents {

  private static final int EVENTS_MAX = 10_000;
  private static final int ANSWER_EVENTS_MAX = 1_000;

  private final InstantSource clock;
  private final long lagMillis;
  private final int gapEvery;
  private final Deque<Event> events = new ArrayDeque<>();
  private long lastSequence;

  CacheEvents(InstantSource clock, long lagMillis, int gapEvery) {
    this.clock = clock;
    this.lagMillis = lagMillis;
    this.gapEvery = gapEvery;
  }

  synchronized void add(String chat, long tokens, boolean stored) {
    lastSequence++;
    if (gapEvery > 0 && lastSequence % gapEvery == 0) {
      return;
    }
    events.addLast(new Event(lastSequence, clock.instant(), chat, tokens, stored));
    if (events.size() > EVENTS_MAX) {
      events.removeFirst();
    }
  }

  /** Returns the visible events after a sequence number. */
  synchronized ObjectNode toJson(long after) {
    Instant visibleUntil = clock.instant().minusMillis(lagMillis);
    ObjectNode answer = Json.object();
    ArrayNode list = answer.putArray("events");
    long next = after;
    for (Event event : events) {
      boolean visible = !event.at().isAfter(visibleUntil);
      if (event.sequence() > after && visible && list.size() < ANSWER_EVENTS_MAX) {
        list.add(event.toJson());
        next = event.sequence();
      }
    }
    return answer.put("next", next);
  }

  private record Event(long sequence, Instant at, String chat, long tokens, boolean stored) {

    ObjectNode toJson() {
      return Json.object()
          .put("seq", sequence)
          .put("chat", chat)
          .put("tokens", tokens)
          .put("kind", stored ? "stored" : "evicted");
    }
  }
}
