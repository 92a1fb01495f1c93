package org.coltsfootvale.testkit.platform;

/**
 * A change of a key.
 *
 * @param entry the entry after a write, or an entry with only key and revision after a deletion
 * @param deleted whether the key was deleted
 */
record StoreEvent(Entry entry, boolean deleted) {}
