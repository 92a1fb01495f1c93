package org.coltsfootvale.core.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.coltsfootvale.core.course.PromptPart;
import org.coltsfootvale.core.course.RequestDescription;
import org.coltsfootvale.core.quarantine.PartKey;
import org.coltsfootvale.core.support.RendezvousHashing;

/**
 * A request to be dispatched to a replica. A callback is called at most once per submission.
 * Confined to one thread.
 */
public abstract class DispatchRequest {

  private final RequestDescription description;
  private final int urgency;
  private final long arrivedNanos;
  private final long deadlineNanos;
  private final long latencyGoalNanos;
  private final List<SharedPrefix> sharedPrefixes;
  private final List<String> partKeys;
  private final Set<String> excludedReplicaIds = new HashSet<>();

  /**
   * Creates a request for dispatching.
   *
   * @param description the attributes of the request
   * @param urgency the priority, 0 is the most urgent
   * @param arrivedNanos the time of arrival, on the monotonic clock
   * @param deadlineNanos the deadline, on the monotonic clock
   * @param goalNanos the time from arrival within which the answer is on time
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
    this.partKeys = description.sharedPartIds().stream().map(PartKey::of).distinct().toList();
  }

  /** Called when a replica is selected; its slot is already counted as used. */
  protected abstract void onPlaced(Placement placement);

  /**
   * Called when the request is queued because no replica is available.
   *
   * @param position the position in the queue, from 0
   * @param queueLength the number of queued requests, this one included
   */
  protected void onQueued(int position, int queueLength) {}

  /** Called when no replica accepts the request in time. */
  protected abstract void onRefused(Refusal refusal);

  /** Returns the attributes of the request. */
  public final RequestDescription description() {
    return description;
  }

  /** Returns the prefixes of the prompt that other requests share, the longest first. */
  final List<SharedPrefix> sharedPrefixes() {
    return sharedPrefixes;
  }

  /** Returns the keys of the parts of the prompt that other requests share. */
  public final List<String> partKeys() {
    return partKeys;
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
      parts.add(new SharedPrefix(RendezvousHashing.hash(prompt.get(i).id()), tokens));
    }
    Collections.reverse(parts);
    return List.copyOf(parts);
  }

  /**
   * A prefix of a prompt.
   *
   * @param hash the hash of the id of its last part
   * @param tokens the total tokens of its parts
   */
  record SharedPrefix(long hash, int tokens) {}

  /** Returns the priority, 0 is the most urgent. */
  public final int urgency() {
    return urgency;
  }

  /** Returns the deadline, on the monotonic clock. */
  public final long deadlineNanos() {
    return deadlineNanos;
  }

  /** Returns the time of arrival, on the monotonic clock. */
  public final long arrivedNanos() {
    return arrivedNanos;
  }

  /** Returns the time from arrival within which the answer is on time. */
  public final long latencyGoalNanos() {
    return latencyGoalNanos;
  }

  /** Excludes a replica from selection. */
  public final void exclude(String replicaId) {
    excludedReplicaIds.add(replicaId);
  }

  /** Returns the number of excluded replicas, whether in use or not. */
  final int excludedReplicas() {
    return excludedReplicaIds.size();
  }

  final boolean excludes(ReplicaState replica) {
    return !excludedReplicaIds.isEmpty() && excludedReplicaIds.contains(replica.replica().id());
  }
}
