package org.coltsfootvale.verify.slopes;

import java.time.Instant;
import org.apache.commons.rng.UniformRandomProvider;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineLoad;

/** Simulated engine whose requests arrive and finish at random. */
final class VirtualEngine {

  private static final double ARRIVALS_PER_SECOND = 3.0;
  private static final double SERVICE_SECONDS = 11.0;
  private static final int QUEUED_TOKENS_PER_ARRIVAL = 900;
  private static final int RUNNING_TOKENS_PER_REQUEST = 175;
  private static final int ARRIVAL_TRIALS = 30;

  final EngineId id;
  final DataCentreId dataCentre;
  long incarnation = 1;
  boolean leaving;
  boolean silent;
  private int outstanding = (int) (ARRIVALS_PER_SECOND * SERVICE_SECONDS);
  private int arrivals;

  /** Creates an engine that starts at its mean load. */
  VirtualEngine(EngineId id, DataCentreId dataCentre) {
    this.id = id;
    this.dataCentre = dataCentre;
  }

  /** Advances the load by one second. */
  void advanceSecond(UniformRandomProvider random) {
    arrivals = drawBinomial(ARRIVAL_TRIALS, ARRIVALS_PER_SECOND / ARRIVAL_TRIALS, random);
    outstanding += arrivals - drawBinomial(outstanding, 1.0 / SERVICE_SECONDS, random);
  }

  /** Returns the current load, reported at an instant. */
  EngineLoad report(Instant now) {
    return new EngineLoad(
        outstanding,
        (long) arrivals * QUEUED_TOKENS_PER_ARRIVAL,
        (long) outstanding * RUNNING_TOKENS_PER_REQUEST,
        now);
  }

  private static int drawBinomial(int trials, double probability, UniformRandomProvider random) {
    int count = 0;
    for (int trial = 0; trial < trials; trial++) {
      if (random.nextDouble() < probability) {
        count++;
      }
    }
    return count;
  }
}
