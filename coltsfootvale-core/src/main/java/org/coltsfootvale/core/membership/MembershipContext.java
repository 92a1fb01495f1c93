package org.coltsfootvale.core.membership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootvale.core.gossip.EntryClass;
import org.coltsfootvale.core.model.Liveness;

/** State shared by the tables of routers and engines. Guarded by the lock of its owner. */
final class MembershipContext {

  private static final Hasher64 HASHER = Hashing.komihash5_0();
  private static final int LIVENESS_BITS = 2;

  final MembershipOptions options;
  final ChangeLog changes = new ChangeLog();
  private final InstantSource clock;
  private final Map<Subject, Long> digestParts = new HashMap<>();
  private long digest;
  private long version;
  private long routerChanges;

  /** Creates an empty context. */
  MembershipContext(MembershipOptions options, InstantSource clock) {
    this.options = options;
    this.clock = clock;
  }

  /** Returns the current time. */
  Instant now() {
    return clock.instant();
  }

  /** Returns the hash of all liveness and incarnations. */
  long digest() {
    return digest;
  }

  /** Returns a count that increases with each change of the view. */
  long version() {
    return version;
  }

  /** Returns a count that increases with each change of a router's liveness or incarnation. */
  long routerChanges() {
    return routerChanges;
  }

  /** Records a change of the view that is not sent to peers. */
  void viewChanged() {
    version++;
  }

  /** Records a change and queues it for sending to peers. */
  void changed(Subject subject, EntryClass entryClass) {
    version++;
    changes.touch(entryClass, subject);
  }

  /** Records a change of a router's liveness or incarnation. */
  void routerChanged(Subject.Router subject, long incarnation, Liveness liveness) {
    routerChanges++;
    livenessChanged(subject, incarnation, liveness);
  }

  /** Records a change of liveness or incarnation; a leaving subject is queued as urgent. */
  void livenessChanged(Subject subject, long incarnation, Liveness liveness) {
    if (liveness == Liveness.LEAVING) {
      changed(subject, EntryClass.LEAVING);
    }
    changed(subject, EntryClass.LIVENESS);
    replaceDigestPart(subject, digestPart(subject, incarnation, liveness));
  }

  /** Removes a subject. */
  void remove(Subject subject) {
    version++;
    changes.remove(subject);
    replaceDigestPart(subject, 0);
    if (subject instanceof Subject.Router) {
      routerChanges++;
    }
  }

  private void replaceDigestPart(Subject subject, long part) {
    Long previous = part == 0 ? digestParts.remove(subject) : digestParts.put(subject, part);
    digest ^= part;
    if (previous != null) {
      digest ^= previous;
    }
  }

  /** Treats a dead router like an unknown one, and a suspected subject like a live one. */
  private static long digestPart(Subject subject, long incarnation, Liveness liveness) {
    if (subject instanceof Subject.Router && liveness == Liveness.DEAD) {
      return 0;
    }
    int code =
        switch (liveness) {
          case LIVE, SUSPECT -> 1;
          case LEAVING -> 2;
          case DEAD -> 3;
        };
    long name = HASHER.hashCharsToLong(subject.toString());
    return HASHER.hashLongLongToLong(name, (incarnation << LIVENESS_BITS) | code);
  }
}
