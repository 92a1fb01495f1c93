package org.coltsfootvale.core.release;

import java.util.List;

/** Computes the fleet state that results from a release note. Implementations are pure. */
public interface FleetStateReducer {

  /**
   * Applies a note to a state, either completely or not at all.
   *
   * @return the new state, one revision higher
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException INVALID_NOTE if the note or the
   *     resulting state is invalid; NOTE_CONFLICT if the note conflicts with the current state
   */
  FleetState apply(FleetState state, ReleaseNote note);

  /**
   * Applies a note without validation, because it was validated when it was accepted.
   *
   * @return the new state, one revision higher
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException NOTE_CONFLICT if the note cannot be
   *     applied to the state
   */
  default FleetState applyAccepted(FleetState state, ReleaseNote note) {
    return apply(state, note);
  }

  /** Returns one line for each change of a note, in the order of the note. */
  List<String> describe(ReleaseNote note);
}
