package org.coltsfootvale.router.backend;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * One chunk of an engine's streamed answer; members that the router does not need are ignored.
 *
 * @param id the attempt's id as the engine echoes it, or null if it does not
 * @param index the chunk's place in the answer, from 0, or null if the engine does not number them
 * @param choices the alternatives, of which the first is read
 * @param usage the token counts, only in the last chunk
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EngineChunk(
    @Nullable String id,
    @Nullable Integer index,
    @Nullable List<Choice> choices,
    @Nullable Usage usage) {

  /** One alternative of the answer. */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record Choice(
      @Nullable Delta delta, @JsonProperty("finish_reason") @Nullable String finishReason) {}

  /** The text that a chunk adds. */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record Delta(@Nullable String content) {}

  /** The token counts of the whole answer. */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record Usage(
      @JsonProperty("prompt_tokens") int promptTokens,
      @JsonProperty("completion_tokens") int completionTokens,
      @JsonProperty("prompt_tokens_details") @Nullable PromptDetails promptDetails) {

    /** Returns how many prompt tokens were found in the engine's cache. */
    public int cachedTokens() {
      return promptDetails == null ? 0 : promptDetails.cachedTokens();
    }
  }

  /** Details of the prompt's token count. */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record PromptDetails(@JsonProperty("cached_tokens") int cachedTokens) {}

  /** Returns the text that the chunk adds, possibly empty. */
  public String content() {
    Choice choice = first();
    if (choice == null || choice.delta() == null || choice.delta().content() == null) {
      return "";
    }
    return choice.delta().content();
  }

  /** Returns why the answer ended; null for every chunk but the last. */
  public @Nullable String finishReason() {
    Choice choice = first();
    return choice == null ? null : choice.finishReason();
  }

  private @Nullable Choice first() {
    return choices == null || choices.isEmpty() ? null : choices.get(0);
  }
}
