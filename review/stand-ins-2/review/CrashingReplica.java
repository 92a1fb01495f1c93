package review;

import java.io.IOException;
import java.net.Socket;
import java.util.function.Predicate;

/** A model replica that crashes when it begins to answer certain requests. */
final class CrashingReplica extends Replica {

  private final Predicate<Http> deadly;
  private final Runnable onCrash;
  private final int events;
  private final int pauseMillis;

  /**
   * Creates a replica that has not been started.
   *
   * @param deadly returns whether a request crashes the replica
   * @param onCrash called after the crash
   */
  CrashingReplica(
      String id,
      int slots,
      Store store,
      Predicate<Http> deadly,
      Runnable onCrash,
      int events,
      int pauseMillis)
      throws IOException {
    super(id, "lintu-llm", slots, store);
    this.deadly = deadly;
    this.onCrash = onCrash;
    this.events = events;
    this.pauseMillis = pauseMillis;
  }

  @Override
  boolean run(Http request, Socket connection) throws IOException, InterruptedException {
    if (deadly.test(request)) {
      Thread.sleep(pauseMillis);
      if (crash()) {
        onCrash.run();
      }
      return false;
    }
    stream(request, connection, events, pauseMillis);
    return true;
  }
}
