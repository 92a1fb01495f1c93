package org.coltsfootvale.router.serving;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.coltsfootvale.core.store.PrefixUpdate;
import org.coltsfootvale.core.store.StoreEntry;
import org.coltsfootvale.core.store.StorePosition;
import org.coltsfootvale.core.store.StoreRecovery;
import org.coltsfootvale.protocol.wire.PrefixChanges;
import org.coltsfootvale.protocol.wire.PrefixEntry;

/**
 * Converts entries of the store to messages between routers and back; large values are compressed.
 */
final class PrefixMessages {

  /**
   * Values of this size and more are compressed, as a relay sends a desired state to all routers of
   * its data centre at once over a narrow link.
   */
  private static final int COMPRESSED_BYTES_MIN = 8 * 1024;

  private PrefixMessages() {}

  static PrefixChanges changes(PrefixUpdate update) {
    PrefixChanges.Builder changes =
        PrefixChanges.newBuilder()
            .setPrefix(update.prefix())
            .setBaseRevision(update.baseRevision())
            .setEra(update.position().era())
            .setRevision(update.position().revision())
            .setWhole(update.full());
    update
        .recovery()
        .ifPresent(
            recovery ->
                changes
                    .setStoreReturned(true)
                    .setRecoveryOrigin(recovery.origin())
                    .setRecoveryNumber(recovery.number()));
    update.entries().forEach(entry -> changes.addEntries(entry(entry)));
    return changes.build();
  }

  static PrefixUpdate update(PrefixChanges changes) {
    return new PrefixUpdate(
        changes.getPrefix(),
        changes.getBaseRevision(),
        new StorePosition(changes.getEra(), changes.getRevision()),
        entries(changes.getEntriesList()),
        changes.getWhole(),
        recovery(changes));
  }

  private static Optional<StoreRecovery> recovery(PrefixChanges changes) {
    return changes.getStoreReturned()
        ? Optional.of(new StoreRecovery(changes.getRecoveryOrigin(), changes.getRecoveryNumber()))
        : Optional.empty();
  }

  static PrefixEntry entry(StoreEntry entry) {
    PrefixEntry.Builder message =
        PrefixEntry.newBuilder().setKey(entry.key()).setRevision(entry.revision());
    if (entry.value().isEmpty()) {
      return message.setDeleted(true).build();
    }
    byte[] value = entry.value().get();
    if (value.length >= COMPRESSED_BYTES_MIN) {
      return message.setCompressed(true).setValue(compressed(value)).build();
    }
    return message.setValue(ByteString.copyFrom(value)).build();
  }

  static List<StoreEntry> entries(List<PrefixEntry> messages) {
    List<StoreEntry> entries = new ArrayList<>(messages.size());
    messages.forEach(message -> entries.add(entry(message)));
    return entries;
  }

  static StoreEntry entry(PrefixEntry message) {
    Optional<byte[]> value =
        message.getDeleted() ? Optional.empty() : Optional.of(valueOf(message));
    return new StoreEntry(message.getKey(), value, message.getRevision());
  }

  private static byte[] valueOf(PrefixEntry message) {
    if (!message.getCompressed()) {
      return message.getValue().toByteArray();
    }
    try (InflaterInputStream inflated = new InflaterInputStream(message.getValue().newInput())) {
      return inflated.readAllBytes();
    } catch (IOException e) {
      throw new UncheckedIOException(
          "the compressed value of " + message.getKey() + " is corrupt", e);
    }
  }

  private static ByteString compressed(byte[] value) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DeflaterOutputStream deflated = new DeflaterOutputStream(bytes)) {
      deflated.write(value);
    } catch (IOException e) {
      throw new UncheckedIOException("could not compress a value in memory", e);
    }
    return ByteString.copyFrom(bytes.toByteArray());
  }
}
