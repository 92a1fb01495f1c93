package org.coltsfootvale.core.support;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * Weighted rendezvous hashing: each node gets a score for a key, and the node with the highest
 * score is selected. All processes compute the same scores, and adding or removing a node moves
 * only the keys of that node.
 */
public final class RendezvousHashing {

  private static final Hasher64 HASHER = Hashing.komihash5_0();
  private static final double UNIT = 0x1.0p-53;

  private RendezvousHashing() {}

  /** Returns the 64-bit hash of a text. */
  public static long hash(CharSequence text) {
    return HASHER.hashCharsToLong(text);
  }

  /** Returns the 64-bit hash of a pair of hashes. */
  public static long combine(long first, long second) {
    return HASHER.hashLongLongToLong(first, second);
  }

  /**
   * Returns the node with the highest score for a key among nodes of equal weight; the first one in
   * iteration order if scores are equal, or empty if there are no nodes.
   *
   * @param keyHash the hash of the key
   * @param nodes the nodes
   * @param nodeHash the hash of a node's name
   */
  public static <N> Optional<N> winner(
      long keyHash, Collection<N> nodes, ToLongFunction<N> nodeHash) {
    N best = null;
    double bestScore = Double.NEGATIVE_INFINITY;
    for (N node : nodes) {
      double score = score(keyHash, nodeHash.applyAsLong(node), 1);
      if (score > bestScore) {
        best = node;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the rank of a node for a key: of nodes of equal weight, the one with the highest rank
   * has the highest score. Cheaper than the score, which is an increasing function of it.
   */
  public static long rank(long keyHash, long nodeHash) {
    return HASHER.hashLongLongToLong(keyHash, nodeHash) >>> 11;
  }

  /**
   * Returns the score of a node for a key.
   *
   * @param keyHash the hash of the key
   * @param nodeHash the hash of the node's name
   * @param weight the node's share of the keys relative to other nodes, more than 0
   */
  public static double score(long keyHash, long nodeHash, double weight) {
    double uniform = (rank(keyHash, nodeHash) + 0.5) * UNIT;
    return -weight / Math.log(uniform);
  }
}
