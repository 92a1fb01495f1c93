package org.coltsfootvale.router.logging;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.support.Service;

/**
 * Writes decisions as JSON lines in a dedicated thread. Recording never blocks: lines beyond the
 * rate limit of their event are suppressed, and lines that exceed the buffer are dropped, routine
 * ones first. A summary line each second reports both counts.
 */
public final class StructuredLog implements DecisionLog, Service {

  /** The maximum number of buffered lines: a few seconds of output of a busy router. */
  private static final int BUFFER_LINES = 4_096;

  /** Routine lines are dropped from this buffer size on, which leaves room for failures. */
  private static final int ROUTINE_LINES_MAX = BUFFER_LINES / 2;

  private static final Duration SUMMARY_INTERVAL = Duration.ofSeconds(1);

  /** The delay that batches lines per write: waking a thread costs more than writing a line. */
  private static final Duration BATCH_DELAY = Duration.ofMillis(200);

  /** How long a stop waits for the buffered lines to be written. */
  private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(250);

  private static final JsonFactory JSON = new JsonFactory();

  private final String router;
  private final OutputStream out;
  private final InstantSource clock;
  private final BlockingQueue<Line> buffer = new ArrayBlockingQueue<>(BUFFER_LINES);
  private final EventRateLimiter rateLimiter;
  private final AtomicLong droppedLines = new AtomicLong();
  private final Thread writer = new Thread(this::runWriter, "log-writer");
  private final CountDownLatch stopping = new CountDownLatch(1);
  private volatile boolean running;

  /**
   * Creates a log.
   *
   * @param router the name of this router in every line
   * @param out the destination of the lines
   * @param clock the source of the time stamps of lines
   * @param nanoTime the monotonic clock of the rate limiter, in nanoseconds
   */
  public StructuredLog(
      String router, OutputStream out, InstantSource clock, LongSupplier nanoTime) {
    this.router = router;
    this.out = new BufferedOutputStream(out);
    this.clock = clock;
    this.rateLimiter = new EventRateLimiter(nanoTime);
    writer.setDaemon(true);
  }

  /** Returns an unstarted log that writes to the standard output of this process. */
  public static StructuredLog onStandardOutput(String router) {
    OutputStream out = new FileOutputStream(FileDescriptor.out);
    return new StructuredLog(router, out, InstantSource.system(), System::nanoTime);
  }

  @Override
  public void start() {
    running = true;
    writer.start();
  }

  /** Writes the buffered lines; waits only a short time for that. */
  @Override
  public void stop() {
    running = false;
    stopping.countDown();
    try {
      writer.join(FLUSH_TIMEOUT.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void record(Decision decision) {
    DecisionEvent event = decision.event();
    if (!rateLimiter.tryAcquire(event)) {
      return;
    }
    boolean routine = event.category() == DecisionEvent.Category.ROUTINE;
    offer(new Line(clock.instant(), event.wireName(), decision.fields()), routine);
  }

  /** Records a log message of a library or of a component that records no decisions. */
  void logMessage(Instant at, Map<String, Object> fields) {
    offer(new Line(at, "message", fields), false);
  }

  private void offer(Line line, boolean routine) {
    if ((routine && buffer.size() >= ROUTINE_LINES_MAX) || !buffer.offer(line)) {
      droppedLines.incrementAndGet();
    }
  }

  private void runWriter() {
    long lastSummaryNanos = System.nanoTime();
    try {
      while (running || !buffer.isEmpty()) {
        Line line = buffer.poll(SUMMARY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        if (line != null) {
          var unused = stopping.await(BATCH_DELAY.toMillis(), TimeUnit.MILLISECONDS);
        }
        while (line != null) {
          writeLine(line);
          line = buffer.poll();
        }
        if (System.nanoTime() - lastSummaryNanos >= SUMMARY_INTERVAL.toNanos()) {
          lastSummaryNanos = System.nanoTime();
          writeSummary();
        }
        out.flush();
      }
      writeSummary();
      out.flush();
    } catch (IOException e) {
      // The output is closed; the router continues to serve requests without a log.
      running = false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeSummary() throws IOException {
    Map<String, Object> counts = rateLimiter.drainSuppressed();
    long droppedCount = droppedLines.getAndSet(0);
    if (droppedCount > 0) {
      counts.put("dropped", droppedCount);
    }
    if (!counts.isEmpty()) {
      writeLine(new Line(clock.instant(), "log.suppressed", counts));
    }
  }

  private void writeLine(Line line) throws IOException {
    try (JsonGenerator json = JSON.createGenerator(out)) {
      json.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
      json.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
      json.writeStartObject();
      json.writeStringField("at", line.at().toString());
      json.writeStringField("router", router);
      json.writeStringField("event", line.event());
      line.fields().forEach((name, value) -> writeField(json, name, value));
      json.writeEndObject();
      json.writeRaw('\n');
    } catch (UncheckedIOException e) {
      throw new IOException(e);
    }
  }

  private static void writeField(JsonGenerator json, String name, Object value) {
    try {
      if (value instanceof Long number) {
        json.writeNumberField(name, number);
      } else if (value instanceof Double number) {
        json.writeNumberField(name, number);
      } else if (value instanceof Boolean flag) {
        json.writeBooleanField(name, flag);
      } else {
        json.writeStringField(name, value.toString());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private record Line(Instant at, String event, Map<String, Object> fields) {}
}
