package org.coltsfootvale.core.membership;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.coltsfootvale.core.gossip.EntryClass;
import org.jspecify.annotations.Nullable;

/**
 * The subjects in the order of their last change, for each class of changes. Holds at most one
 * position for each subject and class, which bounds its size. Not thread-safe.
 */
final class ChangeLog {

  private final Map<EntryClass, NavigableMap<Long, Subject>> order =
      new EnumMap<>(EntryClass.class);
  private final Map<EntryClass, Map<Subject, Long>> positions = new EnumMap<>(EntryClass.class);
  private long sequence;

  /** Creates an empty log. */
  ChangeLog() {
    for (EntryClass entryClass : EntryClass.values()) {
      order.put(entryClass, new TreeMap<>());
      positions.put(entryClass, new HashMap<>());
    }
  }

  /** Moves a subject to the end of a class. */
  void touch(EntryClass entryClass, Subject subject) {
    sequence++;
    Long previous = positionsOf(entryClass).put(subject, sequence);
    if (previous != null) {
      orderOf(entryClass).remove(previous);
    }
    orderOf(entryClass).put(sequence, subject);
  }

  /** Removes a subject from a class. */
  void remove(EntryClass entryClass, Subject subject) {
    Long previous = positionsOf(entryClass).remove(subject);
    if (previous != null) {
      orderOf(entryClass).remove(previous);
    }
  }

  /** Removes a subject from all classes. */
  void remove(Subject subject) {
    for (EntryClass entryClass : EntryClass.values()) {
      remove(entryClass, subject);
    }
  }

  /** Returns the positions and subjects of a class after a position, oldest first. */
  List<Map.Entry<Long, Subject>> after(EntryClass entryClass, long position, int limit) {
    List<Map.Entry<Long, Subject>> result = new ArrayList<>();
    for (Map.Entry<Long, Subject> entry : orderOf(entryClass).tailMap(position, false).entrySet()) {
      if (result.size() >= limit) {
        break;
      }
      result.add(entry);
    }
    return result;
  }

  /** Returns whether a class has subjects after a position. */
  boolean hasAfter(EntryClass entryClass, long position) {
    NavigableMap<Long, Subject> subjects = orderOf(entryClass);
    return !subjects.isEmpty() && subjects.lastKey() > position;
  }

  /** Returns the number of subjects of a class after a position, counted up to a limit. */
  int countAfter(EntryClass entryClass, long position, int limit) {
    if (!hasAfter(entryClass, position)) {
      return 0;
    }
    return (int)
        orderOf(entryClass).tailMap(position, false).keySet().stream().limit(limit).count();
  }

  private NavigableMap<Long, Subject> orderOf(EntryClass entryClass) {
    return requireRegistered(order.get(entryClass));
  }

  private Map<Subject, Long> positionsOf(EntryClass entryClass) {
    return requireRegistered(positions.get(entryClass));
  }

  private static <T> T requireRegistered(@Nullable T value) {
    if (value == null) {
      throw new IllegalStateException("the class of changes is not registered");
    }
    return value;
  }
}
