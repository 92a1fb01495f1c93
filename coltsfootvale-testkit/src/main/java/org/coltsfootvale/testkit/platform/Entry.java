package org.coltsfootvale.testkit.platform;

/**
 * A stored key and its value.
 *
 * @param key the key
 * @param value the value
 * @param createRevision the revision that created the key
 * @param modRevision the revision of the last write
 * @param version the number of writes since the key was created
 * @param leaseId the lease that the key is attached to, 0 for none
 */
@SuppressWarnings("ArrayRecordComponent")
record Entry(
    String key, byte[] value, long createRevision, long modRevision, long version, long leaseId) {}
