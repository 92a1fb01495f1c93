package org.coltsfootvale.verify.placement;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.coltsfootvale.core.course.PromptPart;
import org.coltsfootvale.core.course.RequestDescription;

/** A kind of request whose placement is measured. */
enum Kind {
  NO_PROMPT("no prompt") {
    @Override
    PlacedRequest request(int index) {
      return new PlacedRequest(description(List.of()));
    }
  },
  HELD_PROMPT("prompt held by a replica") {
    @Override
    PlacedRequest request(int index) {
      return new PlacedRequest(prompt("part-" + index % 50));
    }
  },
  NEW_PROMPT("prompt held by none") {
    @Override
    PlacedRequest request(int index) {
      return new PlacedRequest(prompt("part-" + index + "-" + System.nanoTime()));
    }
  };

  private static final int SHARED_TOKENS = 1_000;

  final String label;

  Kind(String label) {
    this.label = label;
  }

  /** Creates a request. */
  abstract PlacedRequest request(int index);

  private static RequestDescription prompt(String part) {
    return description(List.of(new PromptPart(part, SHARED_TOKENS), new PromptPart("own", 100)));
  }

  private static RequestDescription description(List<PromptPart> prompt) {
    int tokens = prompt.stream().mapToInt(PromptPart::tokens).sum();
    return new RequestDescription(
        "id", Optional.empty(), Optional.empty(), prompt, tokens, 50, OptionalLong.empty());
  }
}
