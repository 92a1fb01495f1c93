package org.coltsfootvale.core.course;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The attributes of a request.
 *
 * @param requestId the caller's id of the request
 * @param callerTimeout the time that the caller waits for the answer, if stated
 * @param key the organisation's key, if any, each of its bytes as a character
 * @param prompt the parts of the prompt in order; the last one belongs to the request or its
 *     session, empty for requests without a prompt
 * @param promptTokens the size of the prompt in tokens, 0 without one
 * @param outputTokensMax the largest number of answer tokens, 0 without a prompt
 * @param lastEventId the id of the last event that the caller has received, if it resumes a stream
 */
public record RequestDescription(
    String requestId,
    Optional<Duration> callerTimeout,
    Optional<String> key,
    List<PromptPart> prompt,
    int promptTokens,
    int outputTokensMax,
    OptionalLong lastEventId) {

  /** Creates a description with a copy of the prompt. */
  public RequestDescription {
    prompt = List.copyOf(prompt);
  }

  /** Returns the ids of the parts that other requests share, in order. */
  public List<String> sharedPartIds() {
    return prompt.stream().limit(Math.max(0, prompt.size() - 1)).map(PromptPart::id).toList();
  }

  /** Returns the total tokens of the parts that other requests share. */
  public int sharedTokens() {
    int total = 0;
    for (int i = 0; i < prompt.size() - 1; i++) {
      total += prompt.get(i).tokens();
    }
    return total;
  }
}
