package org.coltsfootvale.core.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.coltsfootvale.core.course.PromptPart;
import org.coltsfootvale.core.course.RequestDescription;
import org.coltsfootvale.core.support.RendezvousHashing;

/**
 * A request that asks for a replica. Its callbacks are called at most once for each time it is
 * submitted. Confined to one thread.
 */
public abstract class DispatchRequest {

  private final RequestDescription description;
  private final int urgency;
  private final long arrivedNanos;
  private final long deadlineNanos;
  private final long latencyGoalNanos;
  private final List<SharedPrefix> sharedPrefixes;
  private final Set<String> triedReplicas = new HashSet<>();

  /**
   * Creates the work of a request.
   *
   * @param description what the request tells of itself
   * @param urgency its rank, 0 is the most urgent
   * @param arrivedNanos when it arrived, on the monotonic clock
   * @param deadlineNanos when it is too late for an answer, on the monotonic clock
   * @param goalNanos the time from its arrival within which its answer is on time
   */
  protected DispatchRequest(
      RequestDescription description,
      int urgency,
      long arrivedNanos,
      long deadlineNanos,
      long goalNanos) {
    this.description = description;
    this.urgency = urgency;
    this.arrivedNanos = arrivedNanos;
    this.deadlineNanos = deadlineNanos;
    this.latencyGoalNanos = goalNanos;
    this.sharedPrefixes = sharedPrefixes(description);
  }

  /** Takes the replica that the request is to be sent to; the slot is already counted. */
  protected abstract void onPlaced(Placement placement);

  /**
   * Takes note that no replica takes the request yet.
   *
   * @param position its place in the queue, from 0
   * @param queueLength the requests that wait, this one included
   */
  protected void onQueued(int position, int queueLength) {}

  /** Takes note that no replica takes the request in time. */
  protected abstract void onRefused(Refusal refusal);

  /** Returns what the request tells of itself. */
  public final RequestDescription description() {
    return description;
  }

  /** Returns the parts of the prompt that other requests share, the longest beginning first. */
  final List<SharedPrefix> sharedPrefixes() {
    return sharedPrefixes;
  }

  /** Returns the id of the last part of the prompt that other requests share; empty if none. */
  public final String sharedPartId() {
    List<PromptPart> prompt = description.prompt();
    return prompt.isEmpty() ? "" : prompt.get(Math.max(0, prompt.size() - 2)).id();
  }

  private static List<SharedPrefix> sharedPrefixes(RequestDescription description) {
    List<SharedPrefix> parts = new ArrayList<>();
    List<PromptPart> prompt = description.prompt();
    int tokens = 0;
    for (int i = 0; i < Math.max(prompt.size() - 1, Math.min(prompt.size(), 1)); i++) {
      tokens += prompt.get(i).tokens();
      parts.add(0, new SharedPrefix(RendezvousHashing.hash(prompt.get(i).id()), tokens));
    }
    return List.copyOf(parts);
  }

  /**
   * A beginning of a prompt.
   *
   * @param hash the hash of its last part's id
   * @param tokens the tokens up to the end of that part
   */
  record SharedPrefix(long hash, int tokens) {}

  /** Returns the rank, 0 is the most urgent. */
  public final int urgency() {
    return urgency;
  }

  /** Returns when it is too late for an answer, on the monotonic clock. */
  public final long deadlineNanos() {
    return deadlineNanos;
  }

  /** Returns when the request arrived, on the monotonic clock. */
  public final long arrivedNanos() {
    return arrivedNanos;
  }

  /** Returns the time from the arrival within which the answer is on time. */
  public final long latencyGoalNanos() {
    return latencyGoalNanos;
  }

  /** Takes note that a replica is not to be picked again. */
  public final void exclude(String replicaId) {
    triedReplicas.add(replicaId);
  }

  final boolean excludes(ReplicaState replica) {
    return triedReplicas.contains(replica.replica().id());
  }
}
