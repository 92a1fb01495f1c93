package org.coltsfootvale.core.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Records the changes of a quarantine. */
public final class RecordingQuarantineListener implements QuarantineListener {

  final List<String> quarantined = new ArrayList<>();
  final List<String> confirmed = new ArrayList<>();
  final List<String> released = new ArrayList<>();

  @Override
  public void onQuarantined(QuarantinedPart quarantinedPart, Optional<Long> answerNanos) {
    quarantined.add(quarantinedPart.part());
  }

  @Override
  public void onConfirmed(QuarantinedPart quarantinedPart) {
    confirmed.add(quarantinedPart.part());
  }

  @Override
  public void onReleased(String part, ReleaseCause cause) {
    released.add(part + " " + cause);
  }

  @Override
  public void onTrial(QuarantinedPart quarantinedPart) {}
}
