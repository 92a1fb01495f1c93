package org.coltsfootvale.protocol;

import org.coltsfootvale.core.model.Liveness;

/** Converts liveness states to and from their numbers on the wire. */
final class LivenessCodec {

  private LivenessCodec() {}

  /** Returns the number of a liveness state. */
  static int encode(Liveness liveness) {
    return switch (liveness) {
      case LIVE -> 0;
      case SUSPECT -> 1;
      case LEAVING -> 2;
      case DEAD -> 3;
    };
  }

  /**
   * Returns the liveness state with a number.
   *
   * @throws IllegalArgumentException if no state has the number
   */
  static Liveness decode(int number) {
    return switch (number) {
      case 0 -> Liveness.LIVE;
      case 1 -> Liveness.SUSPECT;
      case 2 -> Liveness.LEAVING;
      case 3 -> Liveness.DEAD;
      default -> throw new IllegalArgumentException("liveness must be in 0..3, but is " + number);
    };
  }
}
