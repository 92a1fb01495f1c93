package org.coltsfootvale.verify.placement;

import java.util.concurrent.TimeUnit;
import org.coltsfootvale.core.course.RequestDescription;
import org.coltsfootvale.core.dispatch.DispatchRequest;
import org.coltsfootvale.core.dispatch.Placement;
import org.coltsfootvale.core.dispatch.Refusal;
import org.coltsfootvale.core.dispatch.ServiceDispatcher;
import org.jspecify.annotations.Nullable;

/** A request that is completed directly after its placement. */
final class PlacedRequest extends DispatchRequest {

  private @Nullable Placement placement;

  PlacedRequest(RequestDescription description) {
    super(
        description,
        1,
        System.nanoTime(),
        System.nanoTime() + TimeUnit.MINUTES.toNanos(10),
        TimeUnit.MINUTES.toNanos(10));
  }

  @Override
  protected void onPlaced(Placement selected) {
    placement = selected;
  }

  @Override
  protected void onRefused(Refusal refusal) {
    throw new IllegalStateException("the replicas of the measurement are never full: " + refusal);
  }

  /** Ends the request at its replica. */
  void complete(ServiceDispatcher dispatcher) {
    Placement selected = placement;
    if (selected == null) {
      throw new IllegalStateException("the replicas of the measurement are never full");
    }
    selected.replica().onAnswerStarted(this);
    dispatcher.release(selected.replica());
  }
}
