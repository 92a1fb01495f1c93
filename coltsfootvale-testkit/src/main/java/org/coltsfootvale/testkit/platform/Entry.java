package org.coltsfootvale.testkit.platform;

/**
 * A stored value.
 *
 * @param key its key
 * @param value its bytes
 * @param createRevision the revision that created the key
 * @param modRevision the revision of the last write
 * @param version how often the key was written since its creation
 * @param leaseId the lease it is bound to, 0 for none
 */
@SuppressWarnings("ArrayRecordComponent")
record Entry(
    String key, byte[] value, long createRevision, long modRevision, long version, long leaseId) {}
