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
 * Writes decisions as JSON lines from a thread of its own. Recording never blocks: lines beyond the
 * rate of their event are suppressed, lines beyond the buffer are dropped, routine ones first, and
 * both are counted in a line each second.
 */
public final class StructuredLog implements DecisionLog, Service {

  /** The lines that wait for the writer at most: a few seconds of a busy router. */
  private static final int BUFFER_LINES = 4_096;

  /** Routine lines are dropped from this fill on, so that failures still find room. */
  private static final int ROUTINE_LINES_MAX = BUFFER_LINES / 2;

  private static final Duration SUMMARY_PERIOD = Duration.ofSeconds(1);

  /** How long lines gather before they are written: waking a thread costs more than a line. */
  private static final Duration GATHER = Duration.ofMillis(200);

  /** How long a stop waits for the last lines. */
  private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(250);

  private static final JsonFactory JSON = new JsonFactory();

  private final String router;
  private final OutputStream out;
  private final InstantSource clock;
  private final BlockingQueue<Line> buffer = new ArrayBlockingQueue<>(BUFFER_LINES);
  private final LineRates rates;
  private final AtomicLong dropped = new AtomicLong();
  private final Thread writer = new Thread(this::write, "log-writer");
  private final CountDownLatch stopping = new CountDownLatch(1);
  private volatile boolean running;

  /**
   * Creates a log.
   *
   * @param router the name of this router in every line
   * @param out where lines go
   * @param clock the time of day in lines
   * @param nanoTime the monotonic clock for rates
   */
  public StructuredLog(
      String router, OutputStream out, InstantSource clock, LongSupplier nanoTime) {
    this.router = router;
    this.out = new BufferedOutputStream(out);
    this.clock = clock;
    this.rates = new LineRates(nanoTime);
    writer.setDaemon(true);
  }

  /** Returns a log, not started yet, that writes to the standard output of this process. */
  public static StructuredLog onStandardOutput(String router) {
    OutputStream out = new FileOutputStream(FileDescriptor.out);
    return new StructuredLog(router, out, InstantSource.system(), System::nanoTime);
  }

  @Override
  public void start() {
    running = true;
    writer.start();
  }

  /** Writes the lines that wait, for a short time at most. */
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
    if (!rates.allows(event)) {
      return;
    }
    boolean routine = event.category() == DecisionEvent.Category.ROUTINE;
    offer(new Line(clock.instant(), event.wireName(), decision.fields()), routine);
  }

  /** Takes a line of a library or of a component without decisions. */
  void message(Instant at, Map<String, Object> fields) {
    offer(new Line(at, "message", fields), false);
  }

  private void offer(Line line, boolean routine) {
    if ((routine && buffer.size() >= ROUTINE_LINES_MAX) || !buffer.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  private void write() {
    long summaryNanos = System.nanoTime();
    try {
      while (running || !buffer.isEmpty()) {
        Line line = buffer.poll(SUMMARY_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
        if (line != null) {
          var unused = stopping.await(GATHER.toMillis(), TimeUnit.MILLISECONDS);
        }
        while (line != null) {
          writeLine(line);
          line = buffer.poll();
        }
        if (System.nanoTime() - summaryNanos >= SUMMARY_PERIOD.toNanos()) {
          summaryNanos = System.nanoTime();
          writeSummary();
        }
        out.flush();
      }
      writeSummary();
      out.flush();
    } catch (IOException e) {
      // Nobody reads the log any more; requests are served on without it.
      running = false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeSummary() throws IOException {
    Map<String, Object> counts = rates.takeSuppressed();
    long lost = dropped.getAndSet(0);
    if (lost > 0) {
      counts.put("dropped", lost);
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
      } else if (value instanceof Boolean truth) {
        json.writeBooleanField(name, truth);
      } else {
        json.writeStringField(name, value.toString());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private record Line(Instant at, String event, Map<String, Object> fields) {}
}
