package org.coltsfootvale.core.course;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a request tells of itself.
 *
 * @param requestId the caller's id of this request
 * @param callerTimeout how long the caller waits, if it says so
 * @param key the organisation's key, if one was sent
 * @param prompt the parts of the prompt in order; the last one belongs to the request or its
 *     session, empty for requests without a prompt
 * @param promptTokens the size of the prompt in tokens, 0 without one
 * @param outputTokensMax the greatest number of tokens of the answer, 0 without a prompt
 * @param lastEventId the last event that the caller has already received, if it resumes a stream
 */
public record RequestDescription(
    String requestId,
    Optional<Duration> callerTimeout,
    Optional<String> key,
    List<PromptPart> prompt,
    int promptTokens,
    int outputTokensMax,
    OptionalLong lastEventId) {

  /** Copies the list. */
  public RequestDescription {
    prompt = List.copyOf(prompt);
  }

  /** Returns the tokens of the parts that other requests share. */
  public int sharedTokens() {
    int total = 0;
    for (int i = 0; i < prompt.size() - 1; i++) {
      total += prompt.get(i).tokens();
    }
    return total;
  }
}
