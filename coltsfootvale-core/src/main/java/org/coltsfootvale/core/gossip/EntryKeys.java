package org.coltsfootvale.core.gossip;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.RouterIncarnation;

/**
 * Computes the short keys by which load entries identify an incarnation that the peer already
 * holds.
 */
public final class EntryKeys {

  private static final Hasher64 HASHER = Hashing.komihash5_0();

  private EntryKeys() {}

  /** Returns the key of an incarnation of a router. */
  public static int of(RouterIncarnation router) {
    return key(router.id().value(), router.number());
  }

  /** Returns the key of an incarnation of an engine. */
  public static int of(EngineId engine, long incarnation) {
    return key(engine.value(), incarnation);
  }

  private static int key(String name, long incarnation) {
    long hash = HASHER.hashLongLongToLong(HASHER.hashCharsToLong(name), incarnation);
    return (int) hash;
  }
}
