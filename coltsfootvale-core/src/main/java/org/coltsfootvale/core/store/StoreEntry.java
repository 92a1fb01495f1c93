package org.coltsfootvale.core.store;

import java.util.Optional;

/**
 * A key of the store as it was written or deleted.
 *
 * @param key the key
 * @param value the value, or empty if the key was deleted; must not be modified
 * @param revision the store's revision of that change
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreEntry(String key, Optional<byte[]> value, long revision) {}
