package org.coltsfootvale.core.gossip;

import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.jspecify.annotations.Nullable;

/** A versioned entry; of two entries for the same subject the newer one wins. */
public sealed interface GossipEntry {

  /**
   * A router's state. Ordered by incarnation, then version, then severity of the liveness.
   *
   * @param router the router
   * @param version counts the router's own updates within its incarnation
   * @param liveness its state
   * @param dataCentre its data centre, or null if the entry carries no addresses
   * @param callerAddress where callers connect, or null
   * @param peerAddress where peers connect, or null
   * @param load its load in 1/255ths of its capacity
   * @param appliedRevision its newest applied release revision
   */
  record RouterEntry(
      RouterIncarnation router,
      long version,
      Liveness liveness,
      @Nullable DataCentreId dataCentre,
      @Nullable HostPort callerAddress,
      @Nullable HostPort peerAddress,
      int load,
      long appliedRevision)
      implements GossipEntry {}

  /**
   * An engine's state and load as read by one of its observers.
   *
   * @param engine the engine
   * @param incarnation the engine's start number
   * @param version orders the observations of one incarnation
   * @param liveness its state
   * @param outstandingRequests requests accepted and not finished, quantised
   * @param queuedTokens prompt tokens not yet prefilled, quantised
   * @param runningTokens answer tokens still expected, quantised
   * @param ageMillis the age of the load report when the entry is sent
   */
  record EngineEntry(
      EngineId engine,
      long incarnation,
      long version,
      Liveness liveness,
      int outstandingRequests,
      long queuedTokens,
      long runningTokens,
      long ageMillis)
      implements GossipEntry {}

  /**
   * A change of only the load or the applied revision of a live or leaving router.
   *
   * @param key the key of the router's incarnation, see {@link EntryKeys}
   * @param version counts the router's own updates within its incarnation
   * @param load its load in 1/255ths of its capacity
   * @param appliedRevision its newest applied release revision
   */
  record RouterLoadEntry(int key, long version, int load, long appliedRevision)
      implements GossipEntry {}

  /**
   * A change of only the load of an engine that answers.
   *
   * @param key the key of the engine's incarnation, see {@link EntryKeys}
   * @param version orders the observations of one incarnation
   * @param outstandingRequests requests accepted and not finished
   * @param queuedTokens prompt tokens not yet prefilled, quantised
   * @param runningTokens answer tokens still expected, quantised
   * @param ageMillis the age of the load report when the entry is sent
   */
  record EngineLoadEntry(
      int key,
      long version,
      int outstandingRequests,
      long queuedTokens,
      long runningTokens,
      long ageMillis)
      implements GossipEntry {}
}
