package org.coltsfootvale.router.control;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.platform.KeyValue;
import org.coltsfootvale.core.platform.KeyValueStore;
import org.coltsfootvale.core.platform.PlatformException;
import org.coltsfootvale.core.release.AcceptedNote;
import org.coltsfootvale.core.release.DefaultReleaseLog;
import org.coltsfootvale.core.release.ReleaseLog;
import org.coltsfootvale.core.release.ReleaseNoteCodec;
import org.coltsfootvale.protocol.PeerTransport;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.NotesReply;
import org.coltsfootvale.protocol.wire.NotesRequest;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the release log up to date. Platform readers watch the platform; other routers fetch
 * missing notes from the peer whose gossip announces a newer revision. While no gossip arrives,
 * every router reads the platform itself.
 */
public final class ReleaseFollower {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration PEER_TIMEOUT = Duration.ofMillis(800);
  private static final Duration GOSSIP_STALE_AFTER = Duration.ofSeconds(4);
  private static final Duration UNREADY_RETRY = Duration.ofMillis(400);
  private static final Duration READER_REFRESH = Duration.ofSeconds(20);
  private static final Duration STALE_REFRESH = Duration.ofSeconds(5);
  private static final Duration ISOLATION_MAX = Duration.ofSeconds(10);
  private static final int NOTES_PER_REQUEST = 64;

  private final ReleaseLog log;
  private final ReleaseNoteCodec codec;
  private final KeyValueStore store;
  private final PeerTransport transport;
  private final PeerDirectory directory;
  private final PlatformReaderRole role;
  private final InstantSource clock;
  private final LongSupplier jitterMillis;
  private final Counter peerFetches;
  private final Counter peerFetchFailures;
  private final AtomicBoolean refreshInProgress = new AtomicBoolean();
  private final AtomicBoolean changedWhileRefreshing = new AtomicBoolean();
  private final AtomicBoolean fetchInProgress = new AtomicBoolean();
  private final AtomicReference<Instant> refreshDueAt = new AtomicReference<>(Instant.EPOCH);
  private volatile Instant lastGossipAt = Instant.EPOCH;
  private volatile Instant lastPlatformReadAt = Instant.EPOCH;
  private KeyValueStore.@Nullable Watch watch;

  /**
   * Creates a follower.
   *
   * @param jitterMillis supplies random delays that spread the platform reads of routers
   */
  public ReleaseFollower(
      ReleaseLog log,
      ReleaseNoteCodec codec,
      KeyValueStore store,
      PeerTransport transport,
      PeerDirectory directory,
      PlatformReaderRole role,
      InstantSource clock,
      LongSupplier jitterMillis,
      MeterRegistry meters) {
    this.log = log;
    this.codec = codec;
    this.store = store;
    this.transport = transport;
    this.directory = directory;
    this.role = role;
    this.clock = clock;
    this.jitterMillis = jitterMillis;
    this.peerFetches = meters.counter("coltsfootvale.release.peer.fetches");
    this.peerFetchFailures = meters.counter("coltsfootvale.release.peer.fetch.failures");
    meters.gauge("coltsfootvale.release.revision", log, l -> l.current().revision());
  }

  /**
   * Opens or closes the watch and reads the platform if that is due; called several times a second.
   */
  public void tick() {
    boolean reader = role.isReader();
    updateWatch(reader);
    Instant now = clock.instant();
    if (now.isBefore(refreshDueAt.get())) {
      return;
    }
    boolean gossipStale = lastGossipAt.plus(GOSSIP_STALE_AFTER).isBefore(now);
    if (!log.ready()) {
      refresh(UNREADY_RETRY);
    } else if (gossipStale) {
      refresh(STALE_REFRESH);
    } else if (reader) {
      refresh(READER_REFRESH);
    }
  }

  /**
   * Returns whether this router may accept requests: the release log is ready, and a recent
   * platform read or gossip message would have revealed a newer revision.
   */
  public boolean mayServe() {
    Instant lastContactAt =
        lastGossipAt.isAfter(lastPlatformReadAt) ? lastGossipAt : lastPlatformReadAt;
    return log.ready() && clock.instant().isBefore(lastContactAt.plus(ISOLATION_MAX));
  }

  /** Closes the watch. */
  public synchronized void close() {
    if (watch != null) {
      watch.close();
      watch = null;
    }
  }

  /** Processes the revision in a peer's gossip and fetches missing notes from that peer. */
  public void onPeerRevision(RouterId peer, long revision) {
    lastGossipAt = clock.instant();
    log.onPeerRevision(revision);
    if (revision > log.current().revision()) {
      directory.addressOf(peer).ifPresent(this::fetch);
    }
  }

  /** Returns the notes that a peer requests, up to a fixed number. */
  public NotesReply onNotesRequest(NotesRequest request) {
    NotesReply.Builder reply = NotesReply.newBuilder();
    reply.setNewestRevision(log.current().revision());
    int limit = Math.min(request.getLimit(), NOTES_PER_REQUEST);
    for (AcceptedNote note : log.notesAfter(request.getAfterRevision(), limit)) {
      reply.addNotes(ByteString.copyFrom(codec.write(note)));
    }
    return reply.build();
  }

  private void fetch(HostPort peer) {
    if (!fetchInProgress.compareAndSet(false, true)) {
      return;
    }
    peerFetches.increment();
    NotesRequest request =
        NotesRequest.newBuilder()
            .setAfterRevision(log.current().revision())
            .setLimit(NOTES_PER_REQUEST)
            .build();
    transport
        .request(peer, Envelope.newBuilder().setNotesRequest(request).build(), PEER_TIMEOUT)
        .whenComplete((answer, error) -> onFetched(answer, error));
  }

  private void onFetched(@Nullable Envelope answer, @Nullable Throwable error) {
    fetchInProgress.set(false);
    long previousRevision = log.current().revision();
    if (answer != null && answer.hasNotesReply()) {
      List<AcceptedNote> notes =
          answer.getNotesReply().getNotesList().stream()
              .map(bytes -> codec.read(bytes.toByteArray()))
              .toList();
      log.applyFromPeer(notes);
    }
    if (log.current().revision() == previousRevision) {
      peerFetchFailures.increment();
      refreshDueAt.accumulateAndGet(
          clock.instant().plusMillis(jitterMillis.getAsLong()),
          (due, requested) -> requested.isBefore(due) ? requested : due);
      refreshIfDue();
    }
  }

  private void refreshIfDue() {
    if (!clock.instant().isBefore(refreshDueAt.get())) {
      refresh(STALE_REFRESH);
    }
  }

  private void refresh(Duration nextDelay) {
    if (!refreshInProgress.compareAndSet(false, true)) {
      return;
    }
    refreshDueAt.set(clock.instant().plus(nextDelay).plusMillis(jitterMillis.getAsLong()));
    boolean wasReady = log.ready();
    changedWhileRefreshing.set(false);
    log.refresh()
        .whenComplete(
            (revision, error) -> {
              refreshInProgress.set(false);
              if (error == null) {
                lastPlatformReadAt = clock.instant();
              }
              if (changedWhileRefreshing.get() && error == null) {
                refresh(nextDelay);
              }
              if (!wasReady && log.ready()) {
                logger.atInfo().log("release log ready at revision %d", log.current().revision());
              }
            });
  }

  private synchronized void updateWatch(boolean reader) {
    if (reader && watch == null && log.ready()) {
      watch = store.watch(DefaultReleaseLog.NOTES_PREFIX, 0, new NotesListener());
      refreshDueAt.set(Instant.EPOCH);
    } else if (!reader && watch != null) {
      watch.close();
      watch = null;
    }
  }

  private synchronized void clearWatch() {
    watch = null;
  }

  private final class NotesListener implements KeyValueStore.WatchListener {

    @Override
    public void onPut(KeyValue value) {
      changedWhileRefreshing.set(true);
      refresh(READER_REFRESH);
    }

    @Override
    public void onEnd(PlatformException cause) {
      clearWatch();
    }
  }
}
