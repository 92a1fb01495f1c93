package org.coltsfootvale.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** An index of records by their short keys. A key that several records share finds none of them. */
final class KeyIndex<T> {

  private final Map<Integer, List<T>> records = new HashMap<>();

  /** Adds a record. */
  void add(int key, T record) {
    records.computeIfAbsent(key, unused -> new ArrayList<>(1)).add(record);
  }

  /** Removes a record. */
  void remove(int key, T record) {
    List<T> sameKey = records.get(key);
    if (sameKey != null && sameKey.remove(record) && sameKey.isEmpty()) {
      records.remove(key);
    }
  }

  /** Returns the record with a key, or null if there is none or more than one. */
  @Nullable T find(int key) {
    List<T> sameKey = records.get(key);
    return sameKey == null || sameKey.size() != 1 ? null : sameKey.get(0);
  }
}
