package org.coltsfootvale.verify.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.quarantine.PartAnswer;
import org.coltsfootvale.core.quarantine.PromptQuarantine;
import org.coltsfootvale.core.quarantine.QuarantineListener;
import org.coltsfootvale.core.quarantine.QuarantinedPart;
import org.coltsfootvale.core.quarantine.ReplicaCrash;

/**
 * Replays generated load against the quarantines of several routers: sound requests, requests with
 * a part that crashes replicas, replicas that crash by themselves or together, and updates between
 * routers that arrive late.
 */
final class CrashingFleet {

  /**
   * What a run varies.
   *
   * @param name the name of the load
   * @param routers the number of routers
   * @param replicas the number of replicas
   * @param fatalShare the share of requests with the fatal part
   * @param fatalSubjects the number of subjects that these requests share with sound ones
   * @param massCrashes how often half of the replicas crash at one moment
   * @param ownCrashesPerSecond the rate of crashes that no request causes
   */
  record Load(
      String name,
      int routers,
      int replicas,
      double fatalShare,
      int fatalSubjects,
      int massCrashes,
      double ownCrashesPerSecond) {}

  /** Which mechanisms are switched off, to show that the checks depend on them. */
  enum Ablation {
    NONE,
    NO_SHARING,
    NO_CLEARING
  }

  private static final QuarantineListener IGNORED =
      new QuarantineListener() {

        @Override
        public void onQuarantined(QuarantinedPart quarantinedPart, Optional<Long> answerNanos) {}

        @Override
        public void onConfirmed(QuarantinedPart quarantinedPart) {}

        @Override
        public void onReleased(String part, ReleaseCause cause) {}

        @Override
        public void onTrial(QuarantinedPart quarantinedPart) {}
      };

  private static final double REQUESTS_PER_SECOND = 40;
  private static final int SUBJECTS = 30;
  private static final long TICK_MILLIS = 50;
  private static final long UPDATE_DELAY_MILLIS_MAX = 200;
  private static final long RESTART_MILLIS = 3_000;
  private static final long ESTABLISHED_MILLIS = 100;
  private static final long FATAL_FROM_MILLIS = 4_000;
  private static final long END_MILLIS = 40_000;
  private static final long REACTION_MILLIS = 3_000;
  private static final int CRASHES_UNTIL_RULE = 5;

  private final Load load;
  private final Ablation ablation;
  private final UniformRandomProvider random;
  private final List<PromptQuarantine> routers = new ArrayList<>();
  private final List<Replica> replicas = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
  private final List<Long> fatalCrashMillis = new ArrayList<>();
  private final List<Long> fatalSendMillis = new ArrayList<>();
  private long nowMillis;
  private long order;
  private int soundRefused;
  private int soundSent;

  CrashingFleet(Load load, long seed, Ablation ablation) {
    this.load = load;
    this.ablation = ablation;
    this.random = RandomSource.SPLIT_MIX_64.create(seed);
    for (int i = 0; i < load.routers(); i++) {
      int index = i;
      routers.add(
          new PromptQuarantine(
              () -> TimeUnit.MILLISECONDS.toNanos(1_000_000 + nowMillis),
              random::nextDouble,
              part -> index == 0,
              IGNORED));
    }
    for (int i = 0; i < load.replicas(); i++) {
      replicas.add(new Replica(i));
    }
  }

  /** Runs the day and returns this fleet. */
  CrashingFleet run() {
    at(0, this::arrive);
    at(TICK_MILLIS, this::exchange);
    for (int i = 0; i < load.massCrashes(); i++) {
      at(random.nextLong(END_MILLIS), this::crashHalf);
    }
    for (int i = 0; i < load.ownCrashesPerSecond() * END_MILLIS / 1_000; i++) {
      at(random.nextLong(END_MILLIS), () -> crash(replicas.get(random.nextInt(replicas.size()))));
    }
    while (!events.isEmpty() && events.peek().atMillis() < END_MILLIS) {
      Event next = events.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
    return this;
  }

  /** Returns the sends with the fatal part later than the reaction time after the fifth crash. */
  long lateFatalSends() {
    if (fatalCrashMillis.size() < CRASHES_UNTIL_RULE) {
      return 0;
    }
    long from = fatalCrashMillis.get(CRASHES_UNTIL_RULE - 1) + REACTION_MILLIS;
    return fatalSendMillis.stream().filter(sent -> sent > from).count();
  }

  /** Returns the number of sound requests that were sent to a replica. */
  int soundSent() {
    return soundSent;
  }

  /** Returns the number of sound requests that were refused because of the quarantine. */
  int soundRefused() {
    return soundRefused;
  }

  private void at(long millis, Runnable action) {
    events.add(new Event(millis, order++, action));
  }

  private void arrive() {
    at(
        nowMillis
            + Math.max(
                1, (long) (-Math.log(1 - random.nextDouble()) * 1_000 / REQUESTS_PER_SECOND)),
        this::arrive);
    boolean fatal = nowMillis >= FATAL_FROM_MILLIS && random.nextDouble() < load.fatalShare();
    String subject = "subject" + random.nextInt(fatal ? load.fatalSubjects() : SUBJECTS);
    List<String> parts = fatal ? List.of("root", subject, "fatal") : List.of("root", subject);
    int router = random.nextInt(routers.size());
    List<Replica> alive = replicas.stream().filter(replica -> replica.alive).toList();
    if (routers.get(router).refusal(parts).isPresent()) {
      soundRefused += fatal ? 0 : 1;
    } else if (!alive.isEmpty()) {
      send(alive.get(random.nextInt(alive.size())), new Request(router, parts, fatal));
    }
  }

  private void send(Replica replica, Request request) {
    soundSent += request.fatal ? 0 : 1;
    if (request.fatal) {
      fatalSendMillis.add(nowMillis);
    }
    routers.get(request.router).onSent(request.parts);
    replica.unanswered.add(request);
    int incarnation = replica.incarnation;
    at(nowMillis + 100 + random.nextInt(300), () -> begin(replica, incarnation, request));
  }

  private void begin(Replica replica, int incarnation, Request request) {
    if (!replica.runs(incarnation)) {
      return;
    }
    if (request.fatal) {
      fatalCrashMillis.add(nowMillis);
      crash(replica);
    } else {
      at(nowMillis + ESTABLISHED_MILLIS, () -> establish(replica, incarnation, request));
    }
  }

  private void establish(Replica replica, int incarnation, Request request) {
    if (replica.runs(incarnation) && replica.unanswered.remove(request)) {
      if (ablation != Ablation.NO_CLEARING) {
        routers.get(request.router).onAnswer(request.parts);
      }
    }
  }

  private void crashHalf() {
    replicas.subList(0, replicas.size() / 2).forEach(this::crash);
  }

  private void crash(Replica replica) {
    if (!replica.alive) {
      return;
    }
    replica.alive = false;
    for (int router = 0; router < routers.size(); router++) {
      Set<String> parts = new HashSet<>();
      for (Request request : replica.unanswered) {
        if (request.router == router) {
          parts.addAll(request.parts);
        }
      }
      if (!parts.isEmpty()) {
        int observer = router;
        int incarnation = replica.incarnation;
        at(
            nowMillis + random.nextInt(20),
            () ->
                routers
                    .get(observer)
                    .onCrash(
                        new ReplicaCrash(
                            new ReplicaCrash.Incarnation(replica.id(), incarnation),
                            new HostPort("10.0.0.1", 1 + replica.index),
                            parts,
                            TimeUnit.MILLISECONDS.toNanos(1_000_000 + nowMillis))));
      }
    }
    replica.unanswered.clear();
    at(nowMillis + RESTART_MILLIS, replica::restart);
  }

  private void exchange() {
    at(nowMillis + TICK_MILLIS, this::exchange);
    if (ablation == Ablation.NO_SHARING) {
      return;
    }
    for (PromptQuarantine sender : routers) {
      List<ReplicaCrash> crashes = sender.recentCrashes();
      List<PartAnswer> answers = sender.recentAnswers();
      if (!crashes.isEmpty() || !answers.isEmpty()) {
        for (PromptQuarantine receiver : routers) {
          if (receiver != sender) {
            at(
                nowMillis + random.nextLong(UPDATE_DELAY_MILLIS_MAX),
                () -> {
                  answers.forEach(receiver::onAnswer);
                  crashes.forEach(receiver::onCrash);
                });
          }
        }
      }
    }
  }

  private record Event(long atMillis, long order, Runnable action) {}

  /** A request at a replica. */
  private static final class Request {

    private final int router;
    private final List<String> parts;
    private final boolean fatal;

    Request(int router, List<String> parts, boolean fatal) {
      this.router = router;
      this.parts = parts;
      this.fatal = fatal;
    }
  }

  /** A replica that comes back some time after a crash. */
  private static final class Replica {

    private final int index;
    private final Set<Request> unanswered = new HashSet<>();
    private int incarnation = 1;
    private boolean alive = true;

    Replica(int index) {
      this.index = index;
    }

    String id() {
      return "r" + index;
    }

    boolean runs(int expected) {
      return alive && incarnation == expected;
    }

    void restart() {
      incarnation++;
      alive = true;
    }
  }
}
