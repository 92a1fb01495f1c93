package org.coltsfootvale.core.release;

import java.util.List;

/** Works out the fleet state that follows from a release note. Implementations are pure. */
public interface FleetStateReducer {

  /**
   * Applies a note to a state. Either the whole note is valid or nothing of it is applied.
   *
   * @return the new state, one revision higher
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException INVALID_NOTE if the note or the
   *     state that would follow is invalid; NOTE_CONFLICT if it clashes with the present state
   */
  FleetState apply(FleetState state, ReleaseNote note);

  /**
   * Applies a note that has been accepted, and so validated, before.
   *
   * @return the new state, one revision higher
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException NOTE_CONFLICT if the note does not
   *     fit the state at all
   */
  default FleetState applyAccepted(FleetState state, ReleaseNote note) {
    return apply(state, note);
  }

  /** Returns one line for each change of a note, in the order of the note. */
  List<String> describe(ReleaseNote note);
}
