package org.coltsfootvale.core.replay;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.jspecify.annotations.Nullable;

/**
 * One line of a trace: an event and, optionally, its expected outcome. Routers are identified by
 * id, executions of a request by an id assigned in the trace.
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

  /** Returns the expected outcome, or null if the trace states none. */
  @Nullable String expect();

  /** A router process starts with empty memory; its previous incarnation has ended. */
  record Start(String router, long incarnation, @Nullable String expect) implements TraceEvent {}

  /** Membership considers a router incarnation gone, whether or not it is. */
  record Gone(String router, long incarnation, @Nullable String expect) implements TraceEvent {}

  /** A router is paused and does nothing until it wakes up. */
  record Pause(String router, @Nullable String expect) implements TraceEvent {}

  /** A paused router resumes. */
  record Wake(String router, @Nullable String expect) implements TraceEvent {}

  /** Time passes everywhere; running routers tick once a second. */
  record Advance(long millis, @Nullable String expect) implements TraceEvent {}

  /** A fault affects the platform's calls from now on. */
  record Platform(ScriptedKeyValueStore.Fault fault, @Nullable String expect)
      implements TraceEvent {}

  /** The replies of the next calls of a kind are lost. */
  record LoseReplies(ScriptedKeyValueStore.Call call, int count, @Nullable String expect)
      implements TraceEvent {}

  /** The platform's held calls are performed. */
  record ReleaseCalls(@Nullable String expect) implements TraceEvent {}

  /** A router creates a prefix, which keys refer to as {@code $name}. */
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

  /** The request is sent to the backend server, which executes it. */
  record Send(String run, @Nullable String expect) implements TraceEvent {}

  /** An execution ends: finished, notRun or unknown. */
  record End(String run, String as, @Nullable String expect) implements TraceEvent {}

  /** Queries how often the backend server has executed a key. */
  record Runs(String organisation, String key, @Nullable String expect) implements TraceEvent {}

  /** An operator submits a release note. */
  record Submit(String router, String yaml, @Nullable String expect) implements TraceEvent {}

  /** A router reads the log; the outcome is its revision. */
  record Refresh(String router, @Nullable String expect) implements TraceEvent {}

  /** A router sends another one the notes that the other lacks. */
  record Gossip(String from, String to, @Nullable String expect) implements TraceEvent {}

  /** Queries a router's revision and whether it is ready. */
  record State(String router, @Nullable String expect) implements TraceEvent {}

  /** Orders sent by a router from now on are held in flight. */
  record HoldOrders(String router, @Nullable String expect) implements TraceEvent {}

  /** The held orders of a router arrive. */
  record DeliverOrders(String router, @Nullable String expect) implements TraceEvent {}

  /** Queries the model version that an engine last applied. */
  record Engine(String engine, @Nullable String expect) implements TraceEvent {}
}
