package org.coltsfootvale.core.course;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.testng.annotations.Test;

public class AnswerOwnerTest {

  @Test
  public void anAnswerBelongsToTheRequestWhoseIdItBears() {
    assertEquals(AnswerOwner.of("a", Optional.of("a"), false), AnswerOwner.THIS_REQUEST);
    assertEquals(AnswerOwner.of("a", Optional.of("b"), true), AnswerOwner.OTHER_REQUEST);
    assertEquals(AnswerOwner.of("", Optional.of("b"), true), AnswerOwner.OTHER_REQUEST);
  }

  @Test
  public void anAnswerWithoutAnIdBelongsToTheOnlyRequestOfItsConnection() {
    assertEquals(AnswerOwner.of("a", Optional.empty(), true), AnswerOwner.THIS_REQUEST);
    assertEquals(AnswerOwner.of("a", Optional.empty(), false), AnswerOwner.UNKNOWN);
  }
}
