package org.coltsfootvale.testkit.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.util.List;

/**
 * A load plan.
 *
 * @param seed the seed of the random numbers
 * @param durationSeconds the period in which new requests are started
 * @param callers the number of callers, each with its own entry answer
 * @param model the requested model
 * @param organisations the organisations that the chats belong to
 * @param chats the kinds of chat
 * @param keyed the requests to plain services that must not be executed twice
 * @param fleet the programs whose counts the report shows
 */
public record Plan(
    long seed,
    int durationSeconds,
    int callers,
    String model,
    List<Organisation> organisations,
    List<ChatKind> chats,
    Keyed keyed,
    Fleet fleet) {

  /** Copies the lists and checks that duration, callers, organisations and chats are given. */
  public Plan {
    organisations = List.copyOf(organisations);
    chats = List.copyOf(chats);
    if (durationSeconds < 1 || callers < 1 || organisations.isEmpty() || chats.isEmpty()) {
      throw new IllegalArgumentException(
          "a plan needs a duration, callers, organisations and kinds of chat");
    }
  }

  /** Returns a copy with the given duration. */
  public Plan withDurationSeconds(int seconds) {
    return new Plan(seed, seconds, callers, model, organisations, chats, keyed, fleet);
  }

  /**
   * Parses a plan in YAML.
   *
   * @throws IllegalArgumentException if it is not valid; the message names the place
   */
  public static Plan read(String yaml) {
    try {
      return new YAMLMapper().readValue(yaml, Plan.class);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("the plan is not valid: " + e.getMessage(), e);
    }
  }

  /**
   * An organisation.
   *
   * @param id its name
   * @param key its key
   * @param share its relative weight in the choice of chats
   */
  public record Organisation(String id, String key, double share) {}

  /**
   * A kind of chat.
   *
   * @param name its name in the report
   * @param requestClass the class of its requests: quick, tag or report
   * @param concurrent the number of concurrent chats
   * @param firstTokens the length of the first message in tokens
   * @param turnTokens the length of each later message in tokens
   * @param answerTokens the maximum length of an answer in tokens
   * @param turns the number of requests of a chat
   * @param pauseMillis the mean pause between turns in milliseconds
   */
  public record ChatKind(
      String name,
      String requestClass,
      int concurrent,
      int firstTokens,
      int turnTokens,
      int answerTokens,
      int turns,
      long pauseMillis) {}

  /**
   * Requests that must not be executed twice.
   *
   * @param service the plain service
   * @param paths the paths below the service, used in turn
   * @param perSecond the number of new requests per second
   */
  public record Keyed(String service, List<String> paths, double perSecond) {

    /** Copies the paths. */
    public Keyed {
      paths = List.copyOf(paths);
    }
  }

  /**
   * The base addresses of the programs queried for the report.
   *
   * @param platform the platform
   * @param engines the engines
   * @param services the replicas of plain services
   * @param routers the routers
   */
  public record Fleet(
      String platform, List<String> engines, List<String> services, List<String> routers) {

    /** Copies the lists. */
    public Fleet {
      engines = List.copyOf(engines);
      services = List.copyOf(services);
      routers = List.copyOf(routers);
    }
  }
}
