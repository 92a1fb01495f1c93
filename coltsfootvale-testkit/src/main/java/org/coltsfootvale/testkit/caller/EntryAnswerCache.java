package org.coltsfootvale.testkit.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One caller's entry answer: asked of any known address, kept for its lifetime, and asked anew when
 * the address fails or a router says so. Safe for use by several threads.
 */
final class EntryAnswerCache {

  private final HttpJson http;
  private final InstantSource clock;
  private final UniformRandomProvider random;
  private final List<String> known;
  private List<String> addresses = List.of();
  private int next;
  private Instant expiresAt = Instant.EPOCH;
  private Optional<String> keyPrefix = Optional.empty();
  private long keyCounter;

  EntryAnswerCache(
      HttpJson http, InstantSource clock, UniformRandomProvider random, List<String> known) {
    this.http = http;
    this.clock = clock;
    this.random = random;
    this.known = List.copyOf(known);
  }

  /** Returns the address to use now; empty if no router answers. */
  synchronized Optional<String> address() {
    if (!clock.instant().isBefore(expiresAt) || next >= addresses.size()) {
      ask();
    }
    return next < addresses.size() ? Optional.of(addresses.get(next)) : Optional.empty();
  }

  /** Returns a fresh idempotency key; empty if no router gives a prefix. */
  synchronized Optional<String> freshKey() {
    Optional<String> address = address();
    if (keyPrefix.isEmpty() && address.isPresent()) {
      keyPrefix =
          http.get(address.get() + "/v1/key-prefix", Optional.empty())
              .map(answer -> answer.path("keyPrefix").asText());
      keyCounter = 0;
    }
    keyCounter++;
    return keyPrefix.map(prefix -> prefix + "." + keyCounter);
  }

  /** Goes on to the next address after a failure of one. */
  synchronized void failed(String address) {
    if (next < addresses.size() && addresses.get(next).equals(address)) {
      next++;
      keyPrefix = Optional.empty();
    }
  }

  /** Forgets the answer, because a router has said so. */
  synchronized void askAgain() {
    expiresAt = Instant.EPOCH;
  }

  private void ask() {
    List<String> candidates = new ArrayList<>(known);
    while (!candidates.isEmpty()) {
      String candidate = candidates.remove(random.nextInt(candidates.size()));
      Optional<JsonNode> answer = http.get(candidate + "/v1/entry", Optional.empty());
      if (answer.isPresent() && answer.get().path("addresses").size() > 0) {
        take(answer.get());
        return;
      }
    }
    addresses = List.of();
  }

  private void take(JsonNode answer) {
    List<String> named = new ArrayList<>();
    answer.path("addresses").forEach(address -> named.add(address.asText()));
    addresses = named;
    next = 0;
    expiresAt = clock.instant().plusMillis(answer.path("lifetimeMillis").asLong());
    keyPrefix = Optional.ofNullable(answer.path("keyPrefix").textValue());
    keyCounter = 0;
  }
}
