package org.coltsfootvale.core.platform;

/**
 * A stored key and its value.
 *
 * @param key the key
 * @param value the bytes of the value; must not be modified
 * @param createRevision the store's revision at which the key was created
 * @param modRevision the store's revision of the last write of the key
 */
@SuppressWarnings("ArrayRecordComponent")
public record KeyValue(String key, byte[] value, long createRevision, long modRevision) {}
