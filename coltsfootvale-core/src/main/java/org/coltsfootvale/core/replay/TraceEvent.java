package org.coltsfootvale.core.replay;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.jspecify.annotations.Nullable;

/**
 * One line of a trace: an event and, optionally, its stated outcome. Routers are named by id, runs
 * of a request by an id that the trace gives them.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
@JsonSubTypes({
  @JsonSubTypes.Type(value = TraceEvent.Start.class, name = "start"),
  @JsonSubTypes.Type(value = TraceEvent.Gone.class, name = "gone"),
  @JsonSubTypes.Type(value = TraceEvent.Pause.class, name = "pause"),
  @JsonSubTypes.Type(value = TraceEvent.Wake.class, name = "wake"),
  @JsonSubTypes.Type(value = TraceEvent.Advance.class, name = "advance"),
  @JsonSubTypes.Type(value = TraceEvent.Platform.class, name = "platform"),
  @JsonSubTypes.Type(value = TraceEvent.LoseReplies.class, name = "loseReplies"),
  @JsonSubTypes.Type(value = TraceEvent.ReleaseCalls.class, name = "releaseCalls"),
  @JsonSubTypes.Type(value = TraceEvent.Mint.class, name = "mint"),
  @JsonSubTypes.Type(value = TraceEvent.Request.class, name = "request"),
  @JsonSubTypes.Type(value = TraceEvent.Send.class, name = "send"),
  @JsonSubTypes.Type(value = TraceEvent.End.class, name = "end"),
  @JsonSubTypes.Type(value = TraceEvent.Runs.class, name = "runs"),
  @JsonSubTypes.Type(value = TraceEvent.Submit.class, name = "submit"),
  @JsonSubTypes.Type(value = TraceEvent.Refresh.class, name = "refresh"),
  @JsonSubTypes.Type(value = TraceEvent.Gossip.class, name = "gossip"),
  @JsonSubTypes.Type(value = TraceEvent.State.class, name = "state"),
  @JsonSubTypes.Type(value = TraceEvent.HoldOrders.class, name = "holdOrders"),
  @JsonSubTypes.Type(value = TraceEvent.DeliverOrders.class, name = "deliverOrders"),
  @JsonSubTypes.Type(value = TraceEvent.Engine.class, name = "engine"),
})
public sealed interface TraceEvent {

  /** Returns the stated outcome, or null if the trace states none. */
  @Nullable String expect();

  /** A router process starts with empty memory; an earlier run of it has ended. */
  record Start(String router, long incarnation, @Nullable String expect) implements TraceEvent {}

  /** Membership holds a run of a router for gone, rightly or not. */
  record Gone(String router, long incarnation, @Nullable String expect) implements TraceEvent {}

  /** A router is stopped: it takes part in nothing until it wakes up. */
  record Pause(String router, @Nullable String expect) implements TraceEvent {}

  /** A stopped router goes on. */
  record Wake(String router, @Nullable String expect) implements TraceEvent {}

  /** Time passes everywhere; running routers tick once a second. */
  record Advance(long millis, @Nullable String expect) implements TraceEvent {}

  /** The platform's calls meet a fault from now on. */
  record Platform(ScriptedKeyValueStore.Fault fault, @Nullable String expect)
      implements TraceEvent {}

  /** The replies of the next calls of a kind are lost. */
  record LoseReplies(ScriptedKeyValueStore.Call call, int count, @Nullable String expect)
      implements TraceEvent {}

  /** The platform's held calls are performed. */
  record ReleaseCalls(@Nullable String expect) implements TraceEvent {}

  /** A router mints a prefix, which keys name as {@code $name}. */
  record Mint(String router, String name, @Nullable String expect) implements TraceEvent {}

  /** A request arrives; the outcome is run, attach, forward, refused or pending. */
  record Request(
      String router,
      String run,
      String organisation,
      String key,
      @Nullable String body,
      @Nullable String expect)
      implements TraceEvent {}

  /** A run sends its request to the backend server, which runs it. */
  record Send(String run, @Nullable String expect) implements TraceEvent {}

  /** A run ends: finished, notRun or unknown. */
  record End(String run, String as, @Nullable String expect) implements TraceEvent {}

  /** States how often the backend server has run a key. */
  record Runs(String organisation, String key, @Nullable String expect) implements TraceEvent {}

  /** An operator submits a release note. */
  record Submit(String router, String yaml, @Nullable String expect) implements TraceEvent {}

  /** A router reads the log; the outcome is its revision. */
  record Refresh(String router, @Nullable String expect) implements TraceEvent {}

  /** A router hands the notes that another lacks to it. */
  record Gossip(String from, String to, @Nullable String expect) implements TraceEvent {}

  /** States a router's revision and whether it is ready. */
  record State(String router, @Nullable String expect) implements TraceEvent {}

  /** Orders that a router sends from now on stay on their way. */
  record HoldOrders(String router, @Nullable String expect) implements TraceEvent {}

  /** The orders of a router that are on their way arrive. */
  record DeliverOrders(String router, @Nullable String expect) implements TraceEvent {}

  /** States the model version that an engine has last taken over. */
  record Engine(String engine, @Nullable String expect) implements TraceEvent {}
}
