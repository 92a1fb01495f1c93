package org.coltsfootvale.core.quarantine;

import org.coltsfootvale.core.support.RendezvousHashing;

/** Identifies prompt parts. Callers choose the ids, so that long ones are replaced by a hash. */
public final class PartKey {

  private static final int LENGTH_MAX = 64;

  private PartKey() {}

  /** Returns the id itself, or a hash of a long one. */
  public static String of(String id) {
    return id.length() <= LENGTH_MAX ? id : "hash-" + Long.toHexString(RendezvousHashing.hash(id));
  }
}
