package org.coltsfootvale.core.decision;

/** The closed list of events; docs/operators/events.md describes each with its fields. */
public enum DecisionEvent {
  /** The process serves; names its addresses. */
  PROCESS_STARTED("process.started", Category.CHANGE),
  /** The process was told to stop. */
  PROCESS_STOPPING("process.stopping", Category.CHANGE),
  /** The process has finished its requests, or its time to do so is over. */
  PROCESS_STOPPED("process.stopped", Category.CHANGE),
  /** The settings were read anew. */
  SETTINGS_RELOADED("settings.reloaded", Category.CHANGE),
  /** The process stood still, or the time of day was set. */
  PROCESS_PAUSED("process.paused", Category.CHANGE),
  /** Calls to the store fail from now on. */
  STORE_LOST("store.lost", Category.CHANGE),
  /** The store answers again. */
  STORE_REGAINED("store.regained", Category.CHANGE),
  /** The store was restored from a copy, and has lost what it had acknowledged since. */
  STORE_RESTORED("store.restored", Category.CHANGE),
  /** A version of the desired state is in force from now on. */
  DESIRED_STATE_APPLIED("desired_state.applied", Category.CHANGE),
  /** A version of the desired state cannot be read; the one before stays in force. */
  DESIRED_STATE_UNREADABLE("desired_state.unreadable", Category.CHANGE),
  /** A replica is used from now on. */
  REPLICA_ADDED("replica.added", Category.CHANGE),
  /** A replica gets no new work from now on. */
  REPLICA_DEPARTED("replica.departed", Category.CHANGE),
  /** New requests keep away from a replica that could not be reached. */
  REPLICA_SUSPENDED("replica.suspended", Category.CHANGE),
  /** A replica has asked for a pause, in which it gets no new work. */
  REPLICA_PAUSED("replica.paused", Category.CHANGE),
  /** The parts of prompts that a replica holds were asked for. */
  CACHE_LISTED("cache.listed", Category.CHANGE),
  /** This router tells its news to another relay from now on, or relays itself. */
  RELAY_CHANGED("relay.changed", Category.CHANGE),
  /** This router calls the store for changes from now on, or leaves that to a relay. */
  STORE_ROLE_CHANGED("store.role_changed", Category.CHANGE),
  /** This router is late with its work and gives callers away, or has caught up. */
  LATENESS_CHANGED("lateness.changed", Category.CHANGE),
  /** This router is ready for callers, or is no longer. */
  READINESS_CHANGED("readiness.changed", Category.CHANGE),
  /** A request passed the checks of route and key. */
  REQUEST_ACCEPTED("request.accepted", Category.ROUTINE),
  /** No route or no organisation was found for a request. */
  REQUEST_DENIED("request.denied", Category.FAILURE),
  /** No replica takes the request yet. */
  REQUEST_WAITING("request.waiting", Category.ROUTINE),
  /** A replica was chosen. */
  REQUEST_PLACED("request.placed", Category.ROUTINE),
  /** A replica did not give a sound answer. */
  ATTEMPT_FAILED("attempt.failed", Category.FAILURE),
  /** The caller has a whole answer of a replica. */
  REQUEST_COMPLETED("request.completed", Category.ROUTINE),
  /** The caller was told that its request has not run. */
  REQUEST_REFUSED("request.refused", Category.FAILURE),
  /** The caller was told that its request failed. */
  REQUEST_FAILED("request.failed", Category.FAILURE),
  /** An answer was ended in its midst. */
  REQUEST_BROKEN_OFF("request.broken_off", Category.FAILURE),
  /** The caller closed its connection before it had an answer. */
  REQUEST_ABANDONED("request.abandoned", Category.FAILURE);

  /** What is kept first when lines are too many. */
  public enum Category {
    /** A decision without trouble. */
    ROUTINE,
    /** A request that was not served as asked. */
    FAILURE,
    /** A change of what the process believes, or of the process itself. */
    CHANGE
  }

  private final String wireName;
  private final Category category;

  DecisionEvent(String wireName, Category weight) {
    this.wireName = wireName;
    this.category = weight;
  }

  /** Returns the name in log lines. */
  public String wireName() {
    return wireName;
  }

  /** Returns what the event counts when lines are too many. */
  public Category category() {
    return category;
  }
}
