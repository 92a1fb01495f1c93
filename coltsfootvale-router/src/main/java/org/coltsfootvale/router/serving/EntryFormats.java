package org.coltsfootvale.router.serving;

import java.util.Optional;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.routing.RoutingState;
import org.coltsfootvale.router.http.HttpEndpoint;

/**
 * The keys under which a platform keeps the data of an entry router, and the formats of this data.
 */
public interface EntryFormats {

  /** Returns the key of the desired state. */
  String desiredStateKey();

  /** Returns the prefix of all keys that the operator writes, among them the desired state. */
  String operatorPrefix();

  /** Returns the data centre that a key evacuates; empty if it is no such key. */
  Optional<String> evacuatedDataCentre(String key);

  /** Returns the prefix of the keys under which replicas register. */
  String replicaPrefix();

  /** Returns the id of the replica that registers under a key. */
  String replicaId(String key);

  /** Reads a desired state; empty if the bytes hold none. */
  Optional<RoutingState> desiredState(byte[] value);

  /** Reads the entry of a replica; empty if it names none that can be used. */
  Optional<Replica> replica(String key, byte[] value);

  /** Returns the endpoint of callers' queries for the routers to use. */
  HttpEndpoint directory(EntryPoints entryPoints);

  /** Returns the endpoint of the platform's readiness checks. */
  HttpEndpoint readiness(EntryPoints entryPoints);
}
