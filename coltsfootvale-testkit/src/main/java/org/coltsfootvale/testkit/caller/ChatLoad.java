package org.coltsfootvale.testkit.caller;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Keeps the planned number of chats of each kind open. */
final class ChatLoad {

  private final CallersContext context;
  private final AtomicLong lastChat = new AtomicLong();
  private final AtomicInteger openCount = new AtomicInteger();

  ChatLoad(CallersContext context) {
    this.context = context;
  }

  /** Starts all chats. */
  void start() {
    for (Plan.ChatKind kind : context.plan().chats()) {
      for (int i = 0; i < kind.concurrent(); i++) {
        startChat(kind);
      }
    }
  }

  /** Returns the number of open chats. */
  int openCount() {
    return openCount.get();
  }

  private void startChat(Plan.ChatKind kind) {
    long number = lastChat.incrementAndGet();
    UniformRandomProvider random =
        RandomSource.SPLIT_MIX_64.create(context.plan().seed() * 1_000_003 + number);
    List<EntryAnswerCache> entries = context.entries();
    EntryAnswerCache entry = entries.get(random.nextInt(entries.size()));
    openCount.incrementAndGet();
    ChatSession session =
        new ChatSession(
            context,
            kind,
            pickOrganisation(random),
            entry,
            random,
            kind.name() + "-" + number,
            () -> onChatEnded(kind));
    context.timers().execute(session::nextTurn);
  }

  private void onChatEnded(Plan.ChatKind kind) {
    openCount.decrementAndGet();
    if (!context.deadline().passed()) {
      startChat(kind);
    }
  }

  private Plan.Organisation pickOrganisation(UniformRandomProvider random) {
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
