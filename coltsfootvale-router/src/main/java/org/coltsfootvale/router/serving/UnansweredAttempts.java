package org.coltsfootvale.router.serving;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The attempts whose replicas have not begun to answer. Confined to the serving loop. */
final class UnansweredAttempts {

  private final Set<Attempt> attempts = new LinkedHashSet<>();

  void add(Attempt attempt) {
    attempts.add(attempt);
  }

  void remove(Attempt attempt) {
    attempts.remove(attempt);
  }

  /** Cancels the attempts with a prompt part, before it crashes their replicas. */
  int cancelWith(String partKey) {
    List<Attempt> found = attempts.stream().filter(attempt -> attempt.hasPart(partKey)).toList();
    found.forEach(Attempt::onQuarantined);
    return found.size();
  }
}
