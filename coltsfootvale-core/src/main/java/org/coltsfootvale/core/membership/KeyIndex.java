package org.coltsfootvale.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Finds records by their short keys; a key that two records share finds neither. */
final class KeyIndex<T> {

  private final Map<Integer, List<T>> records = new HashMap<>();

  /** Adds a record. */
  void add(int key, T record) {
    records.computeIfAbsent(key, unused -> new ArrayList<>(1)).add(record);
  }

  /** Removes a record. */
  void remove(int key, T record) {
    List<T> sharing = records.get(key);
    if (sharing != null && sharing.remove(record) && sharing.isEmpty()) {
      records.remove(key);
    }
  }

  /** Returns the record with a key, or null if there is none or more than one. */
  @Nullable T find(int key) {
    List<T> sharing = records.get(key);
    return sharing == null || sharing.size() != 1 ? null : sharing.get(0);
  }
}
