package org.coltsfootvale.router.serving;

import io.netty.channel.ChannelPipeline;
import java.util.Optional;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.routing.RoutingState;

/**
 * The keys under which a platform keeps the data of an entry router, and the formats of this data.
 */
public interface EntryFormats {

  /** Returns the key of the desired state. */
  String desiredStateKey();

  /** Returns the prefix of the keys under which replicas register. */
  String replicaPrefix();

  /** Returns the id of the replica that registers under a key. */
  String replicaId(String key);

  /** Reads a desired state; empty if the bytes hold none. */
  Optional<RoutingState> desiredState(byte[] value);

  /** Reads the entry of a replica; empty if it names none that can be used. */
  Optional<Replica> replica(String key, byte[] value);

  /** Adds the handlers for callers' queries for the routers to use. */
  void installDirectory(ChannelPipeline pipeline, EntryPoints entryPoints);

  /** Adds the handlers for the platform's readiness checks. */
  void installReadiness(ChannelPipeline pipeline, EntryPoints entryPoints);
}
