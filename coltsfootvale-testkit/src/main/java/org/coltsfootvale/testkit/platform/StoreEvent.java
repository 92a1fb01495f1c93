package org.coltsfootvale.testkit.platform;

/**
 * A change of a key.
 *
 * @param entry the value after a write, or a value with only key and revision after a deletion
 * @param deleted whether the key was deleted
 */
record StoreEvent(Entry entry, boolean deleted) {}
