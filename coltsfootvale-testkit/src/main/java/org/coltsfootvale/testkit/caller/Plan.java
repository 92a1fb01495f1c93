package org.coltsfootvale.testkit.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.util.List;

/**
 * What the callers do.
 *
 * @param seed the seed of all random choices
 * @param durationSeconds how long new requests are made
 * @param callers how many callers there are, each with an entry answer of its own
 * @param model the model they ask
 * @param organisations who they belong to
 * @param chats the kinds of chat
 * @param keyed the requests to plain services that must not be repeated
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

  /** Copies the lists and checks that something is to be done. */
  public Plan {
    organisations = List.copyOf(organisations);
    chats = List.copyOf(chats);
    if (durationSeconds < 1 || callers < 1 || organisations.isEmpty() || chats.isEmpty()) {
      throw new IllegalArgumentException(
          "a plan needs a duration, callers, organisations and kinds of chat");
    }
  }

  /** Returns the same plan with another duration. */
  public Plan withDurationSeconds(int seconds) {
    return new Plan(seed, seconds, callers, model, organisations, chats, keyed, fleet);
  }

  /**
   * Reads a plan in YAML.
   *
   * @throws IllegalArgumentException if it is not valid; the message says where
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
   * @param share its part of the chats, as a weight
   */
  public record Organisation(String id, String key, double share) {}

  /**
   * A kind of chat.
   *
   * @param name its name in the report
   * @param requestClass the class of its requests: quick, tag or report
   * @param concurrent how many of its chats go on at a time
   * @param firstTokens the length of a chat's first message
   * @param turnTokens the length of each later message
   * @param answerTokens the greatest length of an answer
   * @param turns how many requests a chat has
   * @param pauseMillis the mean pause before a chat returns
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
   * Requests that must not be repeated.
   *
   * @param service the plain service
   * @param paths the paths below the service, used in turn
   * @param perSecond how many new requests there are a second
   */
  public record Keyed(String service, List<String> paths, double perSecond) {

    /** Copies the list. */
    public Keyed {
      paths = List.copyOf(paths);
    }
  }

  /**
   * Base addresses of the programs that the report asks.
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
