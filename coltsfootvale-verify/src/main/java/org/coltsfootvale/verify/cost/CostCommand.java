package org.coltsfootvale.verify.cost;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Measures the cost of one router by comparing requests sent directly to engines with requests sent
 * through the router. The load generator, the engines and the router share one process; the
 * router's processor time is that of its own threads, without garbage collection and compilation.
 */
public final class CostCommand {

  private static final int ENGINES = 24;
  private static final int SHORT_CHUNKS = 8;
  private static final double NANOS_PER_MICRO = 1_000;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double BYTES_PER_MIB = 1 << 20;
  private static final long WARM_UP_MILLIS = 3_000;
  private static final int STREAMS_PER_BATCH = 20;
  private static final long BATCH_PAUSE_MILLIS = 20;

  private final PrintStream out;
  private final LoadGenerator loadGenerator = new LoadGenerator();
  private final RouterCpu cpu = new RouterCpu();

  /** Creates a command that prints to a stream. */
  public CostCommand(PrintStream out) {
    this.out = out;
  }

  /**
   * Runs the command.
   *
   * @return the exit status: 0, 1 if the measurement failed, or 2 if the arguments are wrong
   */
  public int run(String... args) {
    Options options = new Options();
    option(options, "requests", "requests for latency, one at a time, default 4000");
    option(options, "concurrency", "requests in flight for throughput, default 64");
    option(options, "streams", "open streams, default 1000");
    option(options, "events", "events a second over all streams, default 100000");
    option(options, "seconds", "time of each throughput run, default 10");
    try {
      CommandLine line = new DefaultParser().parse(options, args);
      measure(
          intOption(line, "requests", 4_000),
          intOption(line, "concurrency", 64),
          intOption(line, "streams", 1_000),
          intOption(line, "events", 100_000),
          intOption(line, "seconds", 10));
      return 0;
    } catch (ParseException | NumberFormatException e) {
      out.println("cost: " + e.getMessage() + "; options take integers, see --help in the docs");
      return 2;
    } catch (IOException | InterruptedException e) {
      out.println("cost: the measurement failed: " + e.getMessage());
      return 1;
    }
  }

  private static void option(Options options, String name, String description) {
    options.addOption(Option.builder().longOpt(name).hasArg().desc(description).get());
  }

  private static int intOption(CommandLine line, String name, int defaultValue) {
    return Integer.parseInt(line.getOptionValue(name, Integer.toString(defaultValue)));
  }

  private void measure(int requests, int concurrency, int streams, int events, int seconds)
      throws IOException, InterruptedException {
    Logger.getLogger("").setLevel(Level.WARNING);
    long intervalMicros = Math.max(1, 1_000_000L * streams / events);
    try (PacedEngine engine = new PacedEngine(ENGINES, intervalMicros);
        MeasuredRouter router = new MeasuredRouter(engine.addresses())) {
      URI direct = engine.addresses().get(0);
      URI through = router.address();
      warmUp(direct, through, concurrency);
      measureLatency(direct, through, requests);
      measureThroughput("direct", direct, concurrency, seconds);
      measureThroughput("through the router", through, concurrency, seconds);
      double directHeap = measureStreams("direct", direct, streams, events, seconds);
      double routerHeap = measureStreams("through the router", through, streams, events, seconds);
      print(
          "heap of the router for each 1,000 open streams: %.1f MiB",
          (routerHeap - directHeap) * 1_000 / streams);
    }
  }

  private void warmUp(URI direct, URI through, int concurrency) throws InterruptedException {
    closedLoop(direct, concurrency, WARM_UP_MILLIS);
    closedLoop(through, concurrency, WARM_UP_MILLIS);
  }

  private void measureLatency(URI direct, URI through, int requests) {
    Histogram directNanos = new Histogram(3);
    Histogram throughNanos = new Histogram(3);
    for (int i = 0; i < requests; i++) {
      recordLatency(direct, directNanos);
      recordLatency(through, throughNanos);
    }
    for (double percentile : new double[] {50, 99}) {
      double before = directNanos.getValueAtPercentile(percentile) / NANOS_PER_MICRO;
      double after = throughNanos.getValueAtPercentile(percentile) / NANOS_PER_MICRO;
      print(
          "latency p%.0f: direct %.0f us, through the router %.0f us, added %.0f us",
          percentile, before, after, after - before);
    }
  }

  private void recordLatency(URI target, Histogram nanos) {
    HttpRequest request = loadGenerator.request(target, SHORT_CHUNKS, false);
    long start = System.nanoTime();
    if (!loadGenerator.send(request).join()) {
      throw new IllegalStateException("incomplete answer");
    }
    nanos.recordValue(System.nanoTime() - start);
  }

  private void measureThroughput(String name, URI target, int concurrency, int seconds)
      throws InterruptedException {
    double cpuBefore = cpu.seconds();
    long start = System.nanoTime();
    Counts counts = closedLoop(target, concurrency, TimeUnit.SECONDS.toMillis(seconds));
    double elapsed = (System.nanoTime() - start) / NANOS_PER_SECOND;
    double used = cpu.seconds() - cpuBefore;
    print(
        "short answers %s: %.0f requests/s, %d failed, router %.2f cores, %.0f requests/s a core",
        name,
        counts.completed().sum() / elapsed,
        counts.failed().sum(),
        used / elapsed,
        used > 0.1 ? counts.completed().sum() / used : Double.NaN);
  }

  private record Counts(LongAdder completed, LongAdder failed) {}

  private Counts closedLoop(URI target, int concurrency, long millis) throws InterruptedException {
    Counts counts = new Counts(new LongAdder(), new LongAdder());
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    List<CompletableFuture<Void>> loops = new ArrayList<>();
    for (int i = 0; i < concurrency; i++) {
      loops.add(sendUntil(target, counts, end));
    }
    CompletableFuture.allOf(loops.toArray(new CompletableFuture<?>[0])).join();
    return counts;
  }

  private CompletableFuture<Void> sendUntil(URI target, Counts counts, long end) {
    return loadGenerator
        .send(loadGenerator.request(target, SHORT_CHUNKS, false))
        .thenComposeAsync(
            complete -> {
              (complete ? counts.completed() : counts.failed()).increment();
              return System.nanoTime() < end
                  ? sendUntil(target, counts, end)
                  : CompletableFuture.completedFuture(null);
            });
  }

  /** Measures open streams; returns the growth of the heap with all streams open, in MiB. */
  private double measureStreams(String name, URI target, int streams, int events, int seconds)
      throws InterruptedException {
    LongAdder received = new LongAdder();
    MemorySnapshot before = MemorySnapshot.take();
    int chunks = Math.max(2, (int) ((long) events * (seconds + 8) / streams));
    List<CompletableFuture<Integer>> open = new ArrayList<>();
    for (int i = 0; i < streams; i++) {
      open.add(loadGenerator.openStream(loadGenerator.request(target, chunks, true), received));
      if (i % STREAMS_PER_BATCH == 0) {
        Thread.sleep(BATCH_PAUSE_MILLIS);
      }
    }
    Thread.sleep(WARM_UP_MILLIS);
    double cpuBefore = cpu.seconds();
    long eventsBefore = received.sum();
    long start = System.nanoTime();
    Thread.sleep(TimeUnit.SECONDS.toMillis(seconds));
    double elapsed = (System.nanoTime() - start) / NANOS_PER_SECOND;
    double used = cpu.seconds() - cpuBefore;
    long arrived = received.sum() - eventsBefore;
    MemorySnapshot during = MemorySnapshot.take();
    long failed = open.stream().filter(answer -> answer.join() != 200).count();
    boolean complete = received.sum() == (long) chunks * streams;
    double heap = (during.heapBytes() - before.heapBytes()) / BYTES_PER_MIB;
    print(
        "%d streams %s: %.0f events/s of %d asked for, %d refused, all events arrived: %s, router"
            + " %.2f cores, %.0f events/s a core",
        streams,
        name,
        arrived / elapsed,
        events,
        failed,
        complete,
        used / elapsed,
        used > 0.1 ? arrived / used : Double.NaN);
    print(
        "  memory with the streams open: heap +%.1f MiB, resident +%.1f MiB, threads +%d",
        heap,
        (during.residentBytes() - before.residentBytes()) / BYTES_PER_MIB,
        during.threads() - before.threads());
    return heap;
  }

  private void print(String format, Object... values) {
    out.println(String.format(Locale.ROOT, format, values));
  }
}
