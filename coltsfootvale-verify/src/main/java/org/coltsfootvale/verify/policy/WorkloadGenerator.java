package org.coltsfootvale.verify.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RequestClass;

/**
 * Generates multi-turn chats with log-normal lengths and pauses from organisations of uneven size.
 */
final class WorkloadGenerator {

  private static final int CONTEXT_TOKENS_MAX = 32_000;
  private static final int QUICK_TURNS = 3;
  private static final int SURGING_ORGANISATIONS = 2;

  private final WorkloadMix mix;
  private final FleetSize size;
  private final UniformRandomProvider random;
  private final ZigguratSampler.Exponential exponential;
  private final ZigguratSampler.NormalizedGaussian gaussian;
  private final List<Arrival> arrivals = new ArrayList<>();
  private int chats;

  WorkloadGenerator(WorkloadMix mix, FleetSize size, long seed) {
    this.mix = mix;
    this.size = size;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.exponential = ZigguratSampler.Exponential.of(random);
    this.gaussian = ZigguratSampler.NormalizedGaussian.of(random);
  }

  /** Generates the requests in order of arrival. */
  List<Arrival> generate() {
    double chatsPerSecond = size.requestsPerSecond() * chatsPerRequest();
    double timeMillis = 0;
    while (timeMillis < size.durationMillis()) {
      timeMillis += exponential.sample() * 1000 / (chatsPerSecond * mix.surgeFactor());
      startChat((long) timeMillis);
    }
    arrivals.sort(Comparator.comparingLong(Arrival::timeMillis));
    return arrivals;
  }

  private void startChat(long timeMillis) {
    int organisation = drawOrganisation();
    boolean surging = size.inSurge(timeMillis) && organisation < SURGING_ORGANISATIONS;
    if (!surging && random.nextDouble() >= 1 / mix.surgeFactor()) {
      return;
    }
    RequestClass requestClass = drawChatClass();
    OrganisationId id = new OrganisationId("org" + organisation);
    if (requestClass == RequestClass.REPORT) {
      addTurns(
          timeMillis,
          id,
          requestClass,
          drawTokens(mix.reportPromptMedian(), 0.6),
          350,
          400,
          90_000);
    } else if (requestClass == RequestClass.QUICK) {
      addTurns(timeMillis, id, requestClass, drawTokens(250, 0.5), 90, 80, 30_000);
    } else {
      addTurns(timeMillis, id, requestClass, drawTokens(120, 0.3), 12, 0, 0);
    }
  }

  private void addTurns(
      long startMillis,
      OrganisationId organisation,
      RequestClass requestClass,
      int firstPrompt,
      int outputMedian,
      int addedMedian,
      int pauseMedianMillis) {
    int chat = chats++;
    int count = drawTurnCount(requestClass);
    long timeMillis = startMillis;
    int contextTokens = 0;
    int prompt = firstPrompt;
    for (int turn = 0; turn < count && timeMillis < size.durationMillis(); turn++) {
      int output = drawTokens(outputMedian, 0.5);
      arrivals.add(
          new Arrival(
              timeMillis,
              random.nextInt(size.routers()),
              organisation,
              requestClass,
              chat,
              prompt,
              output,
              contextTokens,
              size.inSurge(timeMillis)));
      contextTokens = prompt + output;
      prompt = contextTokens + drawTokens(Math.max(1, addedMedian), 0.5);
      if (prompt > CONTEXT_TOKENS_MAX) {
        return;
      }
      timeMillis +=
          output * SimulatedEngine.MILLIS_PER_TOKEN + 1000 + drawPauseMillis(pauseMedianMillis);
    }
  }

  private long drawPauseMillis(int medianMillis) {
    return (long) (medianMillis * size.pauseFactor() * Math.exp(1.1 * gaussian.sample()));
  }

  private int drawTurnCount(RequestClass requestClass) {
    double mean =
        switch (requestClass) {
          case REPORT -> mix.reportTurns();
          case QUICK -> QUICK_TURNS;
          case TAG -> 1;
        };
    return 1 + (int) ((mean - 1) * exponential.sample());
  }

  /** Draws the class of a chat so that the shares of requests match the mix. */
  private RequestClass drawChatClass() {
    double reports = mix.reportShare() / mix.reportTurns();
    double quick = mix.quickShare() / QUICK_TURNS;
    double draw = random.nextDouble() * chatsPerRequest();
    if (draw < reports) {
      return RequestClass.REPORT;
    }
    return draw < reports + quick ? RequestClass.QUICK : RequestClass.TAG;
  }

  private double chatsPerRequest() {
    double tags = 1 - mix.reportShare() - mix.quickShare();
    return mix.reportShare() / mix.reportTurns() + mix.quickShare() / QUICK_TURNS + tags;
  }

  /** Draws an organisation; the probability of number n is proportional to 1 / (n + 1). */
  private int drawOrganisation() {
    double draw = random.nextDouble() * harmonicNumber(size.organisations());
    int index = 0;
    while (draw > 1.0 / (index + 1) && index < size.organisations() - 1) {
      draw -= 1.0 / (index + 1);
      index++;
    }
    return index;
  }

  private static double harmonicNumber(int n) {
    double sum = 0;
    for (int i = 1; i <= n; i++) {
      sum += 1.0 / i;
    }
    return sum;
  }

  private int drawTokens(double median, double sigma) {
    double drawn = median * Math.exp(sigma * gaussian.sample());
    return (int) Math.max(1, Math.min(CONTEXT_TOKENS_MAX, drawn));
  }
}
