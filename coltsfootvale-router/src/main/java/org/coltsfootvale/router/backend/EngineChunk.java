package org.coltsfootvale.router.backend;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * One chunk of an engine's streamed answer; unknown members are ignored.
 *
 * @param id the attempt's id as echoed by the engine, or null if the engine does not echo it
 * @param index the chunk's zero-based index, or null if the engine does not number chunks
 * @param choices the alternatives, of which only the first is used
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

  /** The token counts of the complete answer. */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record Usage(
      @JsonProperty("prompt_tokens") int promptTokens,
      @JsonProperty("completion_tokens") int completionTokens,
      @JsonProperty("prompt_tokens_details") @Nullable PromptDetails promptDetails) {

    /** Returns the number of prompt tokens served from the engine's cache. */
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

  /** Returns the reason for the end of the answer, or null for every chunk but the last. */
  public @Nullable String finishReason() {
    Choice choice = first();
    return choice == null ? null : choice.finishReason();
  }

  private @Nullable Choice first() {
    return choices == null || choices.isEmpty() ? null : choices.get(0);
  }
}
