package org.coltsfootvale.core.decision;

/** The events that are logged; docs/operators/events.md describes each with its fields. */
public enum DecisionEvent {
  /** The process has started to serve; includes its addresses. */
  PROCESS_STARTED("process.started", Category.CHANGE),
  /** The process received a request to stop. */
  PROCESS_STOPPING("process.stopping", Category.CHANGE),
  /** The process has finished its requests, or the stop timeout has expired. */
  PROCESS_STOPPED("process.stopped", Category.CHANGE),
  /** The settings were reloaded. */
  SETTINGS_RELOADED("settings.reloaded", Category.CHANGE),
  /** The process was paused, or the system clock was changed. */
  PROCESS_PAUSED("process.paused", Category.CHANGE),
  /** Calls to the store have started to fail. */
  STORE_LOST("store.lost", Category.CHANGE),
  /** Calls to the store succeed again. */
  STORE_REGAINED("store.regained", Category.CHANGE),
  /** The store was restored from a backup and has lost writes acknowledged since. */
  STORE_RESTORED("store.restored", Category.CHANGE),
  /** A version of the desired state was applied. */
  DESIRED_STATE_APPLIED("desired_state.applied", Category.CHANGE),
  /** A version of the desired state cannot be read; the previous one stays in force. */
  DESIRED_STATE_UNREADABLE("desired_state.unreadable", Category.CHANGE),
  /** An organisation's requests are denied, as no header can carry its name. */
  ORGANISATION_UNUSABLE("organisation.unusable", Category.CHANGE),
  /** Some API keys of an organisation are denied, as no header can carry them. */
  API_KEYS_UNUSABLE("api_keys.unusable", Category.CHANGE),
  /** Replicas in a data centre get no requests from now on, as the operator evacuates it. */
  DATA_CENTRE_EVACUATED("data_centre.evacuated", Category.CHANGE),
  /** The evacuation of a data centre was withdrawn; its replicas get requests again. */
  DATA_CENTRE_READMITTED("data_centre.readmitted", Category.CHANGE),
  /** An entry among those of the replicas cannot be used; the others are. */
  REPLICA_ENTRY_UNUSABLE("replica.entry_unusable", Category.CHANGE),
  /** A replica was added. */
  REPLICA_ADDED("replica.added", Category.CHANGE),
  /** A replica has departed and gets no new requests. */
  REPLICA_DEPARTED("replica.departed", Category.CHANGE),
  /** A replica was unreachable and gets no new requests for now. */
  REPLICA_SUSPENDED("replica.suspended", Category.CHANGE),
  /** A replica counts as cold and gets a limited number of requests for now. */
  REPLICA_COLD("replica.cold", Category.CHANGE),
  /** A replica ended while it had requests: its connections closed and it refuses new ones. */
  REPLICA_ENDED("replica.ended", Category.CHANGE),
  /** A prompt part is kept from replicas, as requests with it crash them. */
  PROMPT_PART_QUARANTINED("prompt_part.quarantined", Category.CHANGE),
  /** Requests with a prompt part in quarantine were cancelled at their replicas. */
  PROMPT_PART_CONFIRMED("prompt_part.confirmed", Category.CHANGE),
  /** A request with a prompt part in quarantine was sent to a replica as a trial. */
  PROMPT_PART_TRIED("prompt_part.tried", Category.CHANGE),
  /** A prompt part has left the quarantine. */
  PROMPT_PART_RELEASED("prompt_part.released", Category.CHANGE),
  /** A replica requested a pause, during which it gets no new requests. */
  REPLICA_PAUSED("replica.paused", Category.CHANGE),
  /** The prompt parts that a replica caches were requested. */
  CACHE_LISTED("cache.listed", Category.CHANGE),
  /** This router sends its updates to another relay, or has become a relay. */
  RELAY_CHANGED("relay.changed", Category.CHANGE),
  /** This router has started to read changes from the store, or leaves that to a relay. */
  STORE_ROLE_CHANGED("store.role_changed", Category.CHANGE),
  /** This router is lagging and hands its callers to other routers, or has caught up. */
  LATENESS_CHANGED("lateness.changed", Category.CHANGE),
  /** This router has become ready for callers, or is no longer ready. */
  READINESS_CHANGED("readiness.changed", Category.CHANGE),
  /** A request passed the checks of its route and API key. */
  REQUEST_ACCEPTED("request.accepted", Category.ROUTINE),
  /** No route or organisation was found for a request. */
  REQUEST_DENIED("request.denied", Category.FAILURE),
  /** No replica can take the request yet. */
  REQUEST_WAITING("request.waiting", Category.ROUTINE),
  /** A replica was chosen. */
  REQUEST_PLACED("request.placed", Category.ROUTINE),
  /** An attempt at a replica did not return a valid answer. */
  ATTEMPT_FAILED("attempt.failed", Category.FAILURE),
  /** The caller received a complete answer from a replica. */
  REQUEST_COMPLETED("request.completed", Category.ROUTINE),
  /** The request was refused; the caller received the outcome that it has not run. */
  REQUEST_REFUSED("request.refused", Category.FAILURE),
  /** The request failed; the caller received an error. */
  REQUEST_FAILED("request.failed", Category.FAILURE),
  /** An answer was aborted before its end. */
  REQUEST_BROKEN_OFF("request.broken_off", Category.FAILURE),
  /** The caller closed its connection before the answer. */
  REQUEST_ABANDONED("request.abandoned", Category.FAILURE),
  /** A request that was not complete was refused, as callers take up too much memory. */
  CALLER_REFUSED_FOR_MEMORY("caller.refused_for_memory", Category.FAILURE),
  /** A connection whose caller does not read was closed, as callers take up too much memory. */
  CALLER_CLOSED_FOR_MEMORY("caller.closed_for_memory", Category.FAILURE),
  /**
   * A response of a replica was ended, as it made no progress and there was no memory for others.
   */
  RESPONSE_ENDED_FOR_MEMORY("response.ended_for_memory", Category.FAILURE),
  /** A caller sent its request too slowly; it was refused. */
  CALLER_TOO_SLOW("caller.too_slow", Category.FAILURE),
  /** A connection was closed, as its listener had too many. */
  CALLER_CONNECTION_LIMIT("caller.connection_limit", Category.FAILURE);

  /** The category of an event; routine log lines are dropped first when the log's buffer fills. */
  public enum Category {
    /** A decision in normal operation. */
    ROUTINE,
    /** A request or attempt that failed. */
    FAILURE,
    /** A change of the process or of its view. */
    CHANGE
  }

  private final String wireName;
  private final Category category;

  DecisionEvent(String wireName, Category weight) {
    this.wireName = wireName;
    this.category = weight;
  }

  /** Returns the name in log lines and metrics. */
  public String wireName() {
    return wireName;
  }

  /** Returns the category. */
  public Category category() {
    return category;
  }
}
