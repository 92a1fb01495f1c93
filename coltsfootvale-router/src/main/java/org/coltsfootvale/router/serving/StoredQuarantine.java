package org.coltsfootvale.router.serving;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.error.Failures;
import org.coltsfootvale.core.quarantine.PromptQuarantine;
import org.coltsfootvale.core.quarantine.QuarantineSaving;
import org.coltsfootvale.core.quarantine.QuarantinedPart;
import org.coltsfootvale.core.store.RevisionedStore;
import org.coltsfootvale.core.store.StorePage;
import org.coltsfootvale.protocol.wire.QuarantineRecord;

/**
 * Keeps the quarantine in the store, so that routers that all start anew do not have to learn it
 * from further crashes. Confined to the serving loop.
 */
final class StoredQuarantine {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final String KEY = "coltsfootvale/quarantine";

  /** A router takes callers after this time even if the store has not answered. */
  private static final Duration LOAD_WAIT_MAX = Duration.ofMillis(600);

  private static final Duration LOAD_RETRY_DELAY = Duration.ofSeconds(1);

  private final RevisionedStore store;
  private final PromptQuarantine quarantine;
  private final QuarantineUpdates updates;
  private final QuarantineSaving saving;
  private final InstantSource clock;
  private final LongSupplier nanoTime;
  private boolean started;
  private boolean loading;
  private boolean loaded;
  private long startedNanos;
  private long retryNanos;

  StoredQuarantine(
      RevisionedStore store,
      PromptQuarantine quarantine,
      QuarantineUpdates updates,
      QuarantineSaving saving,
      InstantSource clock,
      LongSupplier nanoTime) {
    this.store = store;
    this.quarantine = quarantine;
    this.updates = updates;
    this.saving = saving;
    this.clock = clock;
    this.nanoTime = nanoTime;
    store.era().onNewEra(era -> saving.onStoreRestored());
  }

  /** Returns whether the stored quarantine is known, or has been waited for long enough. */
  boolean loaded() {
    return loaded || (started && nanoTime.getAsLong() - startedNanos >= LOAD_WAIT_MAX.toNanos());
  }

  /** Reads the stored quarantine until that succeeds, then writes changes. */
  void tick() {
    if (!started) {
      started = true;
      startedNanos = nanoTime.getAsLong();
      retryNanos = startedNanos;
    }
    if (!loaded) {
      load();
    } else if (saving.begin()) {
      save(quarantine.quarantinedParts());
    }
  }

  private void load() {
    if (loading || nanoTime.getAsLong() - retryNanos < 0) {
      return;
    }
    loading = true;
    var unused = store.read(KEY, "").whenComplete(this::onRead);
  }

  private void onRead(StorePage page, Throwable failure) {
    loading = false;
    if (failure != null) {
      retryNanos = nanoTime.getAsLong() + LOAD_RETRY_DELAY.toNanos();
      LOGGER.atInfo().log(
          "the stored quarantine was not read; reading it again: %s",
          Failures.unwrap(failure).getMessage());
      return;
    }
    loaded = true;
    page.entries().stream()
        .filter(entry -> entry.key().equals(KEY))
        .flatMap(entry -> entry.value().stream())
        .forEach(this::merge);
    saving.onLoaded();
  }

  private void merge(byte[] value) {
    try {
      QuarantineRecord record = QuarantineRecord.parseFrom(value);
      updates.merge(
          record.getCrashesList(),
          Duration.ofMillis(Math.max(0, clock.millis() - record.getWrittenMillis())));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      LOGGER.atWarning().withCause(e).log(
          "the stored quarantine is unreadable and is ignored; the next change overwrites it");
    }
  }

  private void save(List<QuarantinedPart> quarantinedParts) {
    QuarantineRecord record =
        QuarantineRecord.newBuilder()
            .setWrittenMillis(clock.millis())
            .addAllCrashes(updates.crashesOf(quarantinedParts))
            .build();
    var unused =
        store
            .put(KEY, record.toByteArray(), RevisionedStore.NO_LEASE)
            .whenComplete(
                (revision, failure) -> {
                  if (failure == null) {
                    saving.onWritten(quarantinedParts);
                  } else {
                    saving.onFailed();
                    LOGGER.atInfo().log(
                        "the quarantine was not written; writing it again: %s",
                        Failures.unwrap(failure).getMessage());
                  }
                });
  }
}
