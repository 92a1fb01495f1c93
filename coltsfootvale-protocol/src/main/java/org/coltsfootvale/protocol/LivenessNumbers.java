package org.coltsfootvale.protocol;

import org.coltsfootvale.core.model.Liveness;

/** The numbers of liveness states on the wire. */
final class LivenessNumbers {

  private LivenessNumbers() {}

  /** Returns the number of a state. */
  static int encode(Liveness liveness) {
    return switch (liveness) {
      case LIVE -> 0;
      case SUSPECT -> 1;
      case LEAVING -> 2;
      case DEAD -> 3;
    };
  }

  /**
   * Returns the state of a number.
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
