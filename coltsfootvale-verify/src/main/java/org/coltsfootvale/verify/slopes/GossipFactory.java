package org.coltsfootvale.verify.slopes;

import java.time.InstantSource;
import java.util.List;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.coltsfootvale.core.gossip.DefaultGossip;
import org.coltsfootvale.core.gossip.EntryStore;
import org.coltsfootvale.core.gossip.Gossip;
import org.coltsfootvale.core.gossip.GossipOptions;
import org.coltsfootvale.core.gossip.MeshPeerSelector;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.GossipCodec;

/** Creates the gossip protocol instances of routers. */
@FunctionalInterface
public interface GossipFactory {

  /** Creates the gossip of one router. */
  Gossip create(
      RouterIncarnation self,
      EntryStore store,
      Supplier<List<HostPort>> seeds,
      InstantSource clock,
      UniformRandomProvider random);

  /** Returns a factory of the gossip that routers run in production. */
  static GossipFactory mesh() {
    return (self, store, seeds, clock, random) ->
        new DefaultGossip(
            self,
            store,
            GossipOptions.DEFAULT,
            new GossipCodec(),
            new MeshPeerSelector(FleetShape::region),
            seeds,
            clock,
            random);
  }

  /** Returns a factory of the same gossip over links that ignore data centres. */
  static GossipFactory randomLinks() {
    return (self, store, seeds, clock, random) ->
        new DefaultGossip(
            self,
            store,
            GossipOptions.DEFAULT,
            new GossipCodec(),
            new RandomLinkSelector(),
            seeds,
            clock,
            random);
  }

  /** Returns a factory of gossip with uniform random peers. */
  static GossipFactory uniform() {
    return (self, store, seeds, clock, random) ->
        new UniformGossip(self, store, new GossipCodec(), clock, random);
  }
}
