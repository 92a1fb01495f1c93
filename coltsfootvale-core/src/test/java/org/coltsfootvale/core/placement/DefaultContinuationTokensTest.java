package org.coltsfootvale.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.OrganisationId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

@Test
public class DefaultContinuationTokensTest {

  private static final OrganisationId OWNER = new OrganisationId("reserve");
  private static final byte[] OLD = "an old secret of 24 bytes".getBytes(StandardCharsets.UTF_8);
  private static final byte[] NEW = "a new secret of 24 bytes.".getBytes(StandardCharsets.UTF_8);

  private final ManualClock clock = new ManualClock();
  private final ContinuationTokens tokens = tokens(NEW);

  private ContinuationTokens tokens(byte[]... secrets) {
    return new DefaultContinuationTokens(List.of(secrets), Duration.ofHours(6), clock);
  }

  private CacheHint hint() {
    return new CacheHint(new EngineId("e1"), 42, 1234, clock.instant());
  }

  private static void assertRefused(ErrorKind kind, ContinuationTokens tokens, String text) {
    ColtsfootvaleException error =
        expectThrows(ColtsfootvaleException.class, () -> tokens.verify(OWNER, "chat", text));
    assertEquals(error.kind(), kind);
  }

  public void aTokenReturnsItsHint() {
    String token = tokens.issue(OWNER, "chat", hint());
    assertEquals(tokens.verify(OWNER, "chat", token), Optional.of(hint()));
  }

  public void aTokenOfAnotherOrganisationOrChatIsForbidden() {
    assertRefused(
        ErrorKind.FORBIDDEN, tokens, tokens.issue(new OrganisationId("other"), "chat", hint()));
    assertRefused(ErrorKind.FORBIDDEN, tokens, tokens.issue(OWNER, "another", hint()));
  }

  public void anOldSecretIsAcceptedWhileItIsListed() {
    String token = tokens(OLD).issue(OWNER, "chat", hint());
    assertTrue(tokens(NEW, OLD).verify(OWNER, "chat", token).isPresent());
    assertRefused(ErrorKind.FORBIDDEN, tokens, token);
  }

  public void anExpiredTokenIsIgnored() {
    CacheHint hint = hint();
    String token = tokens.issue(OWNER, "chat", hint);
    clock.advance(Duration.ofHours(7));
    assertTrue(tokens.verify(OWNER, "chat", token).isEmpty());
  }

  public void aTokenWithAnyChangedCharacterIsRefused() {
    String token = tokens.issue(OWNER, "chat", hint());
    for (int i = 0; i < token.length() - 1; i++) {
      char changed = token.charAt(i) == 'A' ? 'B' : 'A';
      String forged = token.substring(0, i) + changed + token.substring(i + 1);
      expectThrows(ColtsfootvaleException.class, () -> tokens.verify(OWNER, "chat", forged));
    }
  }

  @DataProvider
  Object[][] texts() {
    return new Object[][] {{""}, {"a"}, {"???"}, {"x".repeat(600)}, {"Zm9vYmFyYmF6Zm9vYmFyYmF6"}};
  }

  @Test(dataProvider = "texts")
  public void aTextThatIsNotATokenIsMalformed(String text) {
    assertRefused(ErrorKind.MALFORMED_REQUEST, tokens, text);
  }

  public void aShortSecretIsRefused() {
    expectThrows(IllegalArgumentException.class, () -> tokens(new byte[4]));
  }
}
