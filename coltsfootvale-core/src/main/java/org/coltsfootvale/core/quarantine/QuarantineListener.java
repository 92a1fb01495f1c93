package org.coltsfootvale.core.quarantine;

import java.util.Optional;

/** Is informed of changes of the quarantine. */
public interface QuarantineListener {

  /** The reason for which a part left the quarantine. */
  enum ReleaseCause {
    /** A replica answered a request with the part. */
    ANSWERED,
    /** Another part explains the crashes. */
    EXPLAINED,
    /** An operator released it at this router. */
    OPERATOR,
    /** No request with the part has come for a long time. */
    EXPIRED
  }

  /**
   * Called when a part is put into quarantine.
   *
   * @param quarantinedPart the part and the crashes that it explains
   * @param answerNanos the time of the latest answer to a request with the part, if any is known
   */
  void onQuarantined(QuarantinedPart quarantinedPart, Optional<Long> answerNanos);

  /** Called when a part in quarantine explains so many crashes that it is confirmed. */
  void onConfirmed(QuarantinedPart quarantinedPart);

  /** Called when a part leaves the quarantine. */
  void onReleased(String part, ReleaseCause cause);

  /** Called when a request with a part in quarantine is sent to a replica as a trial. */
  void onTrial(QuarantinedPart quarantinedPart);
}
