package org.coltsfootvale.protocol;

import com.google.protobuf.ByteString;
import io.netty.util.NetUtil;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.protocol.wire.Address;

/** Converts socket addresses to and from their wire form. */
final class AddressCodec {

  private static final int IPV4_BYTES = 4;
  private static final int IPV6_BYTES = 16;

  private AddressCodec() {}

  /**
   * Encodes an address.
   *
   * @throws IllegalArgumentException if the host is not an IP address
   */
  static Address encode(HostPort address) {
    byte[] ip = NetUtil.createByteArrayFromIpAddressString(address.host());
    if (ip == null) {
      throw new IllegalArgumentException(
          "'" + address.host() + "' is not an IP address; router addresses must be numeric");
    }
    return Address.newBuilder().setIp(ByteString.copyFrom(ip)).setPort(address.port()).build();
  }

  /**
   * Decodes an address.
   *
   * @throws IllegalArgumentException if the IP address or the port is invalid
   */
  static HostPort decode(Address address) {
    byte[] ip = address.getIp().toByteArray();
    if (ip.length != IPV4_BYTES && ip.length != IPV6_BYTES) {
      throw new IllegalArgumentException(
          "an IP address must have 4 or 16 bytes, but has " + ip.length);
    }
    return new HostPort(NetUtil.bytesToIpAddress(ip), address.getPort());
  }
}
