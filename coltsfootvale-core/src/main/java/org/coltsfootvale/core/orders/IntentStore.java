package org.coltsfootvale.core.orders;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.core.platform.KeyValue;
import org.coltsfootvale.core.platform.KeyValueStore;
import org.jspecify.annotations.Nullable;

/**
 * The stored intent of one pool. Only the same sender or one with a higher fencing number replaces
 * it, and its release revision never decreases.
 */
final class IntentStore {

  private static final ObjectMapper MAPPER = JsonMapper.builder().build();

  private final String key;
  private final KeyValueStore store;

  IntentStore(String key, KeyValueStore store) {
    this.key = key;
    this.store = store;
  }

  /**
   * Writes an intent.
   *
   * @return true if it is the pool's intent now; false if a newer sender or a newer release
   *     revision has written another one
   */
  CompletableFuture<Boolean> write(OrderIntent intent) {
    return store.get(key).thenCompose(found -> replace(intent, found));
  }

  private CompletableFuture<Boolean> replace(OrderIntent intent, Optional<KeyValue> found) {
    byte[] value = serialise(intent);
    if (found.isEmpty()) {
      return store
          .createIfAbsent(key, value, KeyValueStore.NO_LEASE)
          .thenApply(OptionalLong::isPresent);
    }
    OrderIntent stored = deserialise(found.get());
    if (stored.equals(intent)) {
      return CompletableFuture.completedFuture(true);
    }
    boolean newer =
        stored.fencing() > intent.fencing() || stored.releaseRevision() > intent.releaseRevision();
    if (newer) {
      return CompletableFuture.completedFuture(false);
    }
    return store
        .compareAndSwap(key, value, found.get().modRevision(), KeyValueStore.NO_LEASE)
        .thenApply(OptionalLong::isPresent);
  }

  private static byte[] serialise(OrderIntent intent) {
    try {
      return MAPPER.writeValueAsBytes(intent);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("failed to serialise an intent", e);
    }
  }

  private static OrderIntent deserialise(KeyValue entry) {
    try {
      return MAPPER.readValue(entry.value(), OrderIntent.class);
    } catch (IOException e) {
      throw unreadable(entry, e);
    }
  }

  private static ColtsfootvaleException unreadable(KeyValue entry, @Nullable Throwable cause) {
    return new ColtsfootvaleException(
        ErrorKind.INTERNAL,
        Outcome.NOT_RUN,
        "The intent " + entry.key() + " cannot be read; delete the key.",
        null,
        cause);
  }
}
