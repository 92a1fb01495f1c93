package org.coltsfootvale.core.course;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

public class DrainAdmissionTest {

  private static final Duration OPEN_FOR = Duration.ofMillis(2_700);
  private static final Duration ENDS_AFTER = Duration.ofMillis(7_500);
  private static final Duration LONG = Duration.ofSeconds(15);

  private final DrainAdmission admission = new DrainAdmission(OPEN_FOR, ENDS_AFTER);

  @Test
  public void everyRequestIsAcceptedWhileCallersHoldAnOldAddressList() {
    assertTrue(admission.accepts(Duration.ZERO, LONG));
    assertTrue(admission.accepts(OPEN_FOR.minusMillis(1), LONG));
  }

  @Test
  public void laterOnlyRequestsThatEndInTimeAreAccepted() {
    assertFalse(admission.accepts(OPEN_FOR, LONG));
    assertTrue(admission.accepts(OPEN_FOR, ENDS_AFTER.minus(OPEN_FOR)));
    assertFalse(admission.accepts(OPEN_FOR, ENDS_AFTER.minus(OPEN_FOR).plusMillis(1)));
  }
}
