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

  private static final OrganisationId ORGANISATION = new OrganisationId("reserve");
  private static final RouterIncarnation HOME = new RouterIncarnation(new RouterId("a"), 17);
  private static final byte[] OLD_SECRET =
      "an old secret of the fleet".getBytes(StandardCharsets.UTF_8);
  private static final byte[] NEW_SECRET =
      "a newer secret of the fleet".getBytes(StandardCharsets.UTF_8);

  private long nonce;

  @Test
  public void prefixCarriesHomeAndExpiry() {
    DefaultKeyPrefixes prefixes = prefixes(OLD_SECRET);
    IdempotencyKey key = prefixes.parse(ORGANISATION, prefixes.mint(HOME) + ".5");
    assertEquals(key.home(), HOME);
    assertEquals(key.expiresAt(), Instant.EPOCH.plusSeconds(60));
  }

  @Test
  public void prefixSignedWithOldSecretIsAcceptedDuringRotation() {
    String old = prefixes(OLD_SECRET).mint(HOME);
    assertEquals(prefixes(NEW_SECRET, OLD_SECRET).parse(ORGANISATION, old + ".1").home(), HOME);
    ColtsfootvaleException e =
        expectThrows(
            ColtsfootvaleException.class,
            () -> prefixes(NEW_SECRET).parse(ORGANISATION, old + ".1"));
    assertEquals(e.kind(), ErrorKind.MALFORMED_KEY);
  }

  @Test
  public void keyWithoutPrefixHasNoHome() {
    assertNull(prefixes(OLD_SECRET).parse(ORGANISATION, "crane-2031").home());
  }

  @Test
  public void prefixWithAnyChangedCharacterIsRefused() {
    String prefix = prefixes(OLD_SECRET).mint(HOME);
    for (int i = 3; i < prefix.length() - 1; i++) {
      char other = prefix.charAt(i) == 'A' ? 'B' : 'A';
      String forged = prefix.substring(0, i) + other + prefix.substring(i + 1) + ".1";
      expectThrows(
          ColtsfootvaleException.class, () -> prefixes(OLD_SECRET).parse(ORGANISATION, forged));
    }
  }

  @DataProvider
  public Object[][] malformedKeys() {
    return new Object[][] {{""}, {"  "}, {"x".repeat(201)}, {"k1-AAAA.1"}, {"k1-A.1"}};
  }

  @Test(dataProvider = "malformedKeys")
  public void malformedKeyIsRefused(String text) {
    ColtsfootvaleException e =
        expectThrows(
            ColtsfootvaleException.class, () -> prefixes(OLD_SECRET).parse(ORGANISATION, text));
    assertEquals(e.kind(), ErrorKind.MALFORMED_KEY);
  }

  @Test
  public void prefixesOfOneHomeAreUnique() {
    DefaultKeyPrefixes prefixes = prefixes(OLD_SECRET);
    assertTrue(!prefixes.mint(HOME).equals(prefixes.mint(HOME)));
  }

  private DefaultKeyPrefixes prefixes(byte[]... secrets) {
    return new DefaultKeyPrefixes(
        List.of(secrets), Duration.ofSeconds(60), () -> Instant.EPOCH, () -> nonce++);
  }
}
