package org.coltsfootvale.testkit.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Caches the entry answer of one caller: fetches it from any seed address, keeps it for its
 * lifetime, and fetches it again if all its addresses have failed or a router requests it.
 * Thread-safe.
 */
final class EntryAnswerCache {

  private final HttpJson http;
  private final InstantSource clock;
  private final UniformRandomProvider random;
  private final List<String> seedAddresses;
  private List<String> addresses = List.of();
  private int next;
  private Instant expiresAt = Instant.EPOCH;
  private Optional<String> keyPrefix = Optional.empty();
  private long keyCounter;

  EntryAnswerCache(
      HttpJson http,
      InstantSource clock,
      UniformRandomProvider random,
      List<String> seedAddresses) {
    this.http = http;
    this.clock = clock;
    this.random = random;
    this.seedAddresses = List.copyOf(seedAddresses);
  }

  /**
   * Returns the address to use, fetching the entry answer if needed; empty if no router answers.
   */
  synchronized Optional<String> address() {
    if (!clock.instant().isBefore(expiresAt) || next >= addresses.size()) {
      refresh();
    }
    return next < addresses.size() ? Optional.of(addresses.get(next)) : Optional.empty();
  }

  /** Returns a new idempotency key; empty if no router provides a prefix. */
  synchronized Optional<String> newKey() {
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

  /** Switches to the next address after the current one has failed. */
  synchronized void onFailure(String address) {
    if (next < addresses.size() && addresses.get(next).equals(address)) {
      next++;
      keyPrefix = Optional.empty();
    }
  }

  /** Invalidates the cached answer, because a router has requested it. */
  synchronized void invalidate() {
    expiresAt = Instant.EPOCH;
  }

  private void refresh() {
    List<String> candidates = new ArrayList<>(seedAddresses);
    while (!candidates.isEmpty()) {
      String candidate = candidates.remove(random.nextInt(candidates.size()));
      Optional<JsonNode> answer = http.get(candidate + "/v1/entry", Optional.empty());
      if (answer.isPresent() && answer.get().path("addresses").size() > 0) {
        apply(answer.get());
        return;
      }
    }
    addresses = List.of();
  }

  private void apply(JsonNode answer) {
    List<String> received = new ArrayList<>();
    answer.path("addresses").forEach(address -> received.add(address.asText()));
    addresses = received;
    next = 0;
    expiresAt = clock.instant().plusMillis(answer.path("lifetimeMillis").asLong());
    keyPrefix = Optional.ofNullable(answer.path("keyPrefix").textValue());
    keyCounter = 0;
  }
}
