package org.coltsfootvale.core.once;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DefaultKeyPrefixesTest {

  private static final OrganisationId RESERVE = new OrganisationId("reserve");
  private static final RouterIncarnation HOME = new RouterIncarnation(new RouterId("a"), 17);
  private static final byte[] OLD = "an old secret of the fleet".getBytes(StandardCharsets.UTF_8);
  private static final byte[] NEW = "a newer secret of the fleet".getBytes(StandardCharsets.UTF_8);

  private long nonce;

  @Test
  public void aPrefixNamesItsHomeAndItsExpiry() {
    DefaultKeyPrefixes prefixes = prefixes(OLD);
    IdempotencyKey key = prefixes.parse(RESERVE, prefixes.mint(HOME) + ".5");
    assertEquals(key.home(), HOME);
    assertEquals(key.expiresAt(), Instant.EPOCH.plusSeconds(60));
  }

  @Test
  public void aPrefixOfTheOldSecretIsAcceptedDuringRotation() {
    String old = prefixes(OLD).mint(HOME);
    assertEquals(prefixes(NEW, OLD).parse(RESERVE, old + ".1").home(), HOME);
    ColtsfootvaleException e =
        expectThrows(ColtsfootvaleException.class, () -> prefixes(NEW).parse(RESERVE, old + ".1"));
    assertEquals(e.kind(), ErrorKind.MALFORMED_KEY);
  }

  @Test
  public void aTextOfAnotherFormHasNoHome() {
    assertNull(prefixes(OLD).parse(RESERVE, "crane-2031").home());
  }

  @Test
  public void everyChangedCharacterOfAPrefixIsRefused() {
    String prefix = prefixes(OLD).mint(HOME);
    for (int i = 3; i < prefix.length() - 1; i++) {
      char other = prefix.charAt(i) == 'A' ? 'B' : 'A';
      String forged = prefix.substring(0, i) + other + prefix.substring(i + 1) + ".1";
      expectThrows(ColtsfootvaleException.class, () -> prefixes(OLD).parse(RESERVE, forged));
    }
  }

  @DataProvider
  public Object[][] malformedKeys() {
    return new Object[][] {{""}, {"  "}, {"x".repeat(201)}, {"k1-AAAA.1"}, {"k1-A.1"}};
  }

  @Test(dataProvider = "malformedKeys")
  public void aMalformedKeyIsRefused(String text) {
    ColtsfootvaleException e =
        expectThrows(ColtsfootvaleException.class, () -> prefixes(OLD).parse(RESERVE, text));
    assertEquals(e.kind(), ErrorKind.MALFORMED_KEY);
  }

  @Test
  public void twoPrefixesOfOneHomeDiffer() {
    DefaultKeyPrefixes prefixes = prefixes(OLD);
    assertTrue(!prefixes.mint(HOME).equals(prefixes.mint(HOME)));
  }

  private DefaultKeyPrefixes prefixes(byte[]... secrets) {
    return new DefaultKeyPrefixes(
        List.of(secrets), Duration.ofSeconds(60), () -> Instant.EPOCH, () -> nonce++);
  }
}
