package org.coltsfootvale.protocol;

import com.google.protobuf.ByteString;
import io.netty.util.NetUtil;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.protocol.wire.Address;

/** Converts addresses. */
final class Addresses {

  private static final int IPV4_BYTES = 4;
  private static final int IPV6_BYTES = 16;

  private Addresses() {}

  /**
   * Encodes an address.
   *
   * @throws IllegalArgumentException if the host is not an IP number
   */
  static Address encode(HostPort address) {
    byte[] ip = NetUtil.createByteArrayFromIpAddressString(address.host());
    if (ip == null) {
      throw new IllegalArgumentException(
          "'" + address.host() + "' is not an IP number; give the router's address as one");
    }
    return Address.newBuilder().setIp(ByteString.copyFrom(ip)).setPort(address.port()).build();
  }

  /**
   * Decodes an address.
   *
   * @throws IllegalArgumentException if it has no valid IP number or port
   */
  static HostPort decode(Address address) {
    byte[] ip = address.getIp().toByteArray();
    if (ip.length != IPV4_BYTES && ip.length != IPV6_BYTES) {
      throw new IllegalArgumentException("an IP number has 4 or 16 bytes, not " + ip.length);
    }
    return new HostPort(NetUtil.bytesToIpAddress(ip), address.getPort());
  }
}
