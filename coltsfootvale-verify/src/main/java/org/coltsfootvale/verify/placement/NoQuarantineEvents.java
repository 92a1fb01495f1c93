package org.coltsfootvale.verify.placement;

import java.util.Optional;
import org.coltsfootvale.core.quarantine.QuarantineListener;
import org.coltsfootvale.core.quarantine.QuarantinedPart;

/** Ignores the quarantine, in which the measured placements put nothing. */
final class NoQuarantineEvents implements QuarantineListener {

  @Override
  public void onQuarantined(QuarantinedPart quarantinedPart, Optional<Long> answerNanos) {}

  @Override
  public void onConfirmed(QuarantinedPart quarantinedPart) {}

  @Override
  public void onReleased(String part, ReleaseCause cause) {}

  @Override
  public void onTrial(QuarantinedPart quarantinedPart) {}
}
