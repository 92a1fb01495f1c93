package org.coltsfootvale.testkit.caller;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Keeps the planned number of chats of each kind going. */
final class ChatLoad {

  private final CallersContext context;
  private final AtomicLong lastChat = new AtomicLong();
  private final AtomicInteger open = new AtomicInteger();

  ChatLoad(CallersContext context) {
    this.context = context;
  }

  /** Begins all chats. */
  void start() {
    for (Plan.ChatKind kind : context.plan().chats()) {
      for (int i = 0; i < kind.concurrent(); i++) {
        begin(kind);
      }
    }
  }

  /** Returns how many chats go on. */
  int open() {
    return open.get();
  }

  private void begin(Plan.ChatKind kind) {
    long number = lastChat.incrementAndGet();
    UniformRandomProvider random =
        RandomSource.SPLIT_MIX_64.create(context.plan().seed() * 1_000_003 + number);
    List<EntryAnswerCache> entries = context.entries();
    EntryAnswerCache entry = entries.get(random.nextInt(entries.size()));
    open.incrementAndGet();
    ChatSession session =
        new ChatSession(
            context,
            kind,
            organisation(random),
            entry,
            random,
            kind.name() + "-" + number,
            () -> ended(kind));
    context.timers().execute(session::nextTurn);
  }

  private void ended(Plan.ChatKind kind) {
    open.decrementAndGet();
    if (!context.deadline().passed()) {
      begin(kind);
    }
  }

  private Plan.Organisation organisation(UniformRandomProvider random) {
    List<Plan.Organisation> all = context.plan().organisations();
    double sum = all.stream().mapToDouble(Plan.Organisation::share).sum();
    double point = random.nextDouble() * sum;
    for (Plan.Organisation organisation : all) {
      point -= organisation.share();
      if (point < 0) {
        return organisation;
      }
    }
    return all.get(all.size() - 1);
  }
}
