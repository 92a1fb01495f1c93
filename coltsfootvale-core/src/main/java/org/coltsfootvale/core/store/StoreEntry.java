package org.coltsfootvale.core.store;

import java.util.Optional;

/**
 * A key of the store as it was written or deleted.
 *
 * @param key its name
 * @param value its bytes, or empty if the key was deleted; not to be modified
 * @param revision the store's revision of that change
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreEntry(String key, Optional<byte[]> value, long revision) {}
