package org.coltsfootvale.verify.policy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Prefix cache of limited capacity that evicts the least recently used chats. */
final class PrefixCache {

  private final long capacityTokens;
  private final Map<Integer, Integer> tokensByChat = new LinkedHashMap<>(16, 0.75f, true);
  private long cachedTokens;

  PrefixCache(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /** Returns the number of cached tokens of a chat and marks it as used. */
  int lookUp(int chat) {
    return tokensByChat.getOrDefault(chat, 0);
  }

  /** Caches a number of tokens of a chat unless as many are cached already. */
  void put(int chat, int tokens) {
    int cached = tokensByChat.getOrDefault(chat, 0);
    if (tokens <= cached) {
      return;
    }
    tokensByChat.put(chat, tokens);
    cachedTokens += tokens - cached;
    Iterator<Map.Entry<Integer, Integer>> oldest = tokensByChat.entrySet().iterator();
    while (cachedTokens > capacityTokens && oldest.hasNext()) {
      cachedTokens -= oldest.next().getValue();
      oldest.remove();
    }
  }

  /** Removes a chat. */
  void remove(int chat) {
    Integer tokens = tokensByChat.remove(chat);
    cachedTokens -= tokens == null ? 0 : tokens;
  }

  /** Removes all chats. */
  void clear() {
    tokensByChat.clear();
    cachedTokens = 0;
  }
}
