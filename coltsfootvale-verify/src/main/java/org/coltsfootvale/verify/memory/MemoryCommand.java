package org.coltsfootvale.verify.memory;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.once.DefaultIdempotencyRegistry;
import org.coltsfootvale.core.once.DefaultKeyPrefixes;
import org.coltsfootvale.core.once.IdempotencyDecision;
import org.coltsfootvale.core.once.IdempotencyLimits;
import org.coltsfootvale.core.once.StoredAnswer;
import org.coltsfootvale.core.release.AcceptedNote;
import org.coltsfootvale.core.release.DefaultFleetStateReducer;
import org.coltsfootvale.core.release.DefaultReleaseLog;
import org.coltsfootvale.core.release.YamlReleaseNoteCodec;
import org.coltsfootvale.core.replay.ScriptedKeyValueStore;
import org.coltsfootvale.core.replay.ScriptedKeyValueStore.Call;

/**
 * Prints the heap and processor time of the idempotency registry and of the release log, which run
 * on an in-memory key-value service.
 */
public final class MemoryCommand {

  private static final Instant NOW = Instant.ofEpochSecond(1_000_000);
  private static final int KEYS = 40_000;
  private static final int NOTES = 3_100;
  private static final FleetNotes DESIGN_TARGET = new FleetNotes(900, 730, 21);
  private static final FleetNotes TODAY = new FleetNotes(8, 10, 3);

  private final PrintStream out;

  /** Creates a command that prints to a stream. */
  public MemoryCommand(PrintStream out) {
    this.out = out;
  }

  /** Runs the measurements, prints the results and returns the exit status, which is 0. */
  public int run() {
    measureKeys(0);
    measureKeys(0);
    measureKeys(1024);
    measureReleaseLog("today", TODAY);
    measureReleaseLog("letter", DESIGN_TARGET);
    return 0;
  }

  private void measureKeys(int answerBytes) {
    DefaultKeyPrefixes prefixes =
        new DefaultKeyPrefixes(List.of(new byte[32]), Duration.ofMinutes(15), () -> NOW, () -> 1L);
    RouterIncarnation self = new RouterIncarnation(new RouterId("router-1"), 1);
    IdempotencyLimits limits =
        new IdempotencyLimits(
            4 * KEYS, 1L << 30, 64 * 1024, Duration.ofMinutes(15), Duration.ofSeconds(10));
    long before = HeapMeter.usedBytes();
    DefaultIdempotencyRegistry registry =
        new DefaultIdempotencyRegistry(
            self, home -> true, new ScriptedKeyValueStore(), () -> NOW, System::nanoTime, limits);
    String prefix = prefixes.mint(self);
    OrganisationId organisation = new OrganisationId("organisation-1");
    long startedNanos = System.nanoTime();
    for (int i = 0; i < KEYS; i++) {
      IdempotencyDecision decision =
          registry.begin(prefixes.parse(organisation, prefix + "." + i), i);
      ((IdempotencyDecision.Run) decision)
          .execution()
          .finished(new StoredAnswer(200, Map.of(), new byte[answerBytes]));
    }
    long nanos = System.nanoTime() - startedNanos;
    long heap = HeapMeter.usedBytes() - before;
    print(
        "keys held %d, answers of %d bytes: %.0f heap bytes a key, %.1f us to parse, begin and"
            + " finish",
        registry.size(), answerBytes, (double) heap / registry.size(), nanos / 1e3 / KEYS);
  }

  private void measureReleaseLog(String name, FleetNotes fleet) {
    ScriptedKeyValueStore store = new ScriptedKeyValueStore();
    DefaultReleaseLog writer = newLog(store);
    writer.submit(fleet.fullNote()).join();
    int createsBefore = store.calls(Call.CREATE);
    int readsBefore = store.calls(Call.GET) + store.calls(Call.LIST);
    List<Long> latencies = new ArrayList<>();
    for (int i = 0; i < NOTES; i++) {
      long startedNanos = System.nanoTime();
      writer.submit(fleet.changeNote(i)).join();
      latencies.add(System.nanoTime() - startedNanos);
    }
    latencies.sort(null);
    int writes = store.calls(Call.CREATE) - createsBefore;
    int reads = store.calls(Call.GET) + store.calls(Call.LIST) - readsBefore;
    YamlReleaseNoteCodec codec = new YamlReleaseNoteCodec();
    AcceptedNote last = writer.notesAfter(NOTES, 1).get(0);
    print(
        "%s: a change note %d bytes, a commit p50 %.2f ms p99 %.2f ms of one core, %d creates, %d"
            + " deletes and %d reads for %d notes",
        name,
        codec.write(last).length,
        latencies.get(NOTES / 2) / 1e6,
        latencies.get(NOTES * 99 / 100) / 1e6,
        writes,
        store.calls(Call.DELETE),
        reads,
        NOTES);
    measureStart(name, store, codec);
  }

  private void measureStart(String name, ScriptedKeyValueStore store, YamlReleaseNoteCodec codec) {
    int readsBefore = store.calls(Call.GET) + store.calls(Call.LIST);
    long before = HeapMeter.usedBytes();
    long startedNanos = System.nanoTime();
    DefaultReleaseLog reader = newLog(store);
    reader.refresh().join();
    long nanos = System.nanoTime() - startedNanos;
    long heap = HeapMeter.usedBytes() - before;
    AcceptedNote snapshot = reader.notesAfter(0, 1).get(0);
    print(
        "%s: a start reads a snapshot of %d bytes and %d notes in %.0f ms of one core, %d reads;"
            + " heap %d KB",
        name,
        codec.write(snapshot).length,
        reader.notesAfter(snapshot.revision(), Integer.MAX_VALUE).size(),
        nanos / 1e6,
        store.calls(Call.GET) + store.calls(Call.LIST) - readsBefore,
        heap / 1024);
  }

  private static DefaultReleaseLog newLog(ScriptedKeyValueStore store) {
    return new DefaultReleaseLog(
        store, new YamlReleaseNoteCodec(), new DefaultFleetStateReducer(), () -> NOW);
  }

  private void print(String format, Object... values) {
    out.println(String.format(Locale.ROOT, format, values));
  }
}
