package org.coltsfootvale.verify.policy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** A prefix cache of limited size that evicts the chats used least recently. */
final class PrefixCache {

  private final long capacityTokens;
  private final Map<Integer, Integer> tokensByChat = new LinkedHashMap<>(16, 0.75f, true);
  private long heldTokens;

  PrefixCache(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /** Returns the tokens held of a chat, and counts as a use. */
  int tokens(int chat) {
    return tokensByChat.getOrDefault(chat, 0);
  }

  /** Holds the tokens of a chat, if they are more than it holds already. */
  void put(int chat, int tokens) {
    int known = tokensByChat.getOrDefault(chat, 0);
    if (tokens <= known) {
      return;
    }
    tokensByChat.put(chat, tokens);
    heldTokens += tokens - known;
    Iterator<Map.Entry<Integer, Integer>> oldest = tokensByChat.entrySet().iterator();
    while (heldTokens > capacityTokens && oldest.hasNext()) {
      heldTokens -= oldest.next().getValue();
      oldest.remove();
    }
  }

  /** Drops a chat. */
  void remove(int chat) {
    Integer tokens = tokensByChat.remove(chat);
    heldTokens -= tokens == null ? 0 : tokens;
  }

  /** Drops everything. */
  void clear() {
    tokensByChat.clear();
    heldTokens = 0;
  }
}
