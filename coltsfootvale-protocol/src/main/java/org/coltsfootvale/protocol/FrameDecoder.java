package org.coltsfootvale.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/** Splits length-prefixed frames. Fails if the connection closes inside a frame. */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {

  /** The size of the length field, in bytes. */
  static final int LENGTH_FIELD_BYTES = 4;

  /** Creates a decoder that rejects frames longer than a maximum. */
  FrameDecoder(int frameBytesMax) {
    super(frameBytesMax, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES, true);
  }

  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf in, java.util.List<Object> out)
      throws Exception {
    super.decodeLast(context, in, out);
    if (in.isReadable() && !context.isRemoved()) {
      in.skipBytes(in.readableBytes());
      throw new CorruptedFrameException("the connection closed inside a frame");
    }
  }
}
