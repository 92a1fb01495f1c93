package org.coltsfootvale.testkit.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Cached prompt prefixes by chat. Evicts the least recently used chats if the capacity is exceeded.
 * Not thread-safe.
 */
final class PrefixCache {

  private static final float LOAD_FACTOR = 0.75f;
  private static final int INITIAL_CHATS = 64;

  private final long capacityTokens;
  private final ChangeListener listener;
  private final Map<String, List<Block>> chats =
      new LinkedHashMap<>(INITIAL_CHATS, LOAD_FACTOR, true);
  private long heldTokens;

  PrefixCache(long capacityTokens, ChangeListener listener) {
    this.capacityTokens = capacityTokens;
    this.listener = listener;
  }

  /** Returns the number of cached tokens of the messages and marks the chat as used. */
  int cachedTokens(String chat, List<Message> messages) {
    List<Block> blocks = chats.getOrDefault(chat, List.of());
    int tokens = 0;
    for (int i = 0; i < Math.min(blocks.size(), messages.size()); i++) {
      if (blocks.get(i).hash() != messages.get(i).hash()) {
        break;
      }
      tokens += blocks.get(i).tokens();
    }
    return tokens;
  }

  /** Stores the messages of a chat, and evicts other chats as needed. */
  void store(String chat, List<Message> messages) {
    storeBlocks(chat, messages.stream().map(Block::of).toList());
  }

  /** Stores the blocks of a chat, and evicts other chats as needed. */
  void storeBlocks(String chat, List<Block> blocks) {
    drop(chat);
    long tokens = tokens(blocks);
    if (tokens > capacityTokens) {
      return;
    }
    evictUntilFree(tokens);
    chats.put(chat, blocks);
    heldTokens += tokens;
    listener.onChange(chat, tokens, true);
  }

  /** Returns the blocks of a chat, empty if it is not cached. */
  List<Block> blocks(String chat) {
    return List.copyOf(chats.getOrDefault(chat, List.of()));
  }

  /** Returns the number of cached tokens. */
  long heldTokens() {
    return heldTokens;
  }

  private void evictUntilFree(long tokens) {
    List<String> evicted = new ArrayList<>();
    long free = capacityTokens - heldTokens;
    Iterator<Map.Entry<String, List<Block>>> oldest = chats.entrySet().iterator();
    while (free < tokens && oldest.hasNext()) {
      Map.Entry<String, List<Block>> entry = oldest.next();
      free += tokens(entry.getValue());
      evicted.add(entry.getKey());
    }
    for (String chat : evicted) {
      listener.onChange(chat, drop(chat), false);
    }
  }

  private long drop(String chat) {
    List<Block> before = chats.remove(chat);
    long tokens = before == null ? 0 : tokens(before);
    heldTokens -= tokens;
    return tokens;
  }

  private static long tokens(List<Block> blocks) {
    return blocks.stream().mapToLong(Block::tokens).sum();
  }

  /**
   * The cached part of one message.
   *
   * @param hash the hash of the message
   * @param tokens the number of tokens of the message
   */
  record Block(long hash, int tokens) {

    static Block of(Message message) {
      return new Block(message.hash(), message.tokens());
    }
  }

  /** Receives notifications of stored and evicted chats. */
  interface ChangeListener {

    void onChange(String chat, long tokens, boolean stored);
  }
}
