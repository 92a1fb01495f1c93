import java.nio.file.Path;

/** Two deployments one after the other, each with a planned stop. */
public final class GracefulStops {

  private GracefulStops() {}

  public static void main(String[] args) {
    Deployment.runCase(
        () -> {
          int lost;
          try (Record record = new Record(Path.of(args[0]))) {
            lost = LateStreams.play(record) + SlowReaders.play(record);
            record.line("requests lost: %d", lost);
          }
          System.exit(lost > 0 ? 3 : 0);
        });
  }
}
