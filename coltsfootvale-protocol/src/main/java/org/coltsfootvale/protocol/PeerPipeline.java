package org.coltsfootvale.protocol;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.coltsfootvale.protocol.wire.Envelope;

/** Builds the channel pipelines of both sides. */
final class PeerPipeline {

  /** The maximum frame size during the handshake, in bytes. */
  static final int HANDSHAKE_FRAME_BYTES_MAX = 1024;

  private static final String FRAMES = "frames";
  private static final String MESSAGES = "messages";
  private static final String IDLE = "idle";

  private PeerPipeline() {}

  /** Configures a new channel for the handshake. */
  static void beginHandshake(ChannelPipeline pipeline, ChannelHandler handshake) {
    pipeline.addLast(FRAMES, new FrameDecoder(HANDSHAKE_FRAME_BYTES_MAX));
    pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
    pipeline.addLast(new LengthFieldPrepender(FrameDecoder.LENGTH_FIELD_BYTES));
    pipeline.addLast(new ProtobufEncoder());
    pipeline.addLast(MESSAGES, handshake);
  }

  /**
   * Replaces the handshake by the handler of messages and raises the frame size limit.
   *
   * @param readerIdle the time without received data after which an idle event is fired
   */
  static void endHandshake(
      ChannelPipeline pipeline, ChannelHandler messages, int frameBytesMax, Duration readerIdle) {
    IdleStateHandler idle =
        new IdleStateHandler(readerIdle.toMillis(), 0, 0, TimeUnit.MILLISECONDS);
    pipeline.addBefore(MESSAGES, IDLE, idle);
    pipeline.replace(MESSAGES, MESSAGES, messages);
    pipeline.replace(FRAMES, FRAMES, new FrameDecoder(frameBytesMax));
  }
}
