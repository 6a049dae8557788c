package org.apricotstand.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.util.List;
import org.apricotstand.dispatch.AnswerTimes;
import org.apricotstand.model.StoreVersion;
import org.apricotstand.quota.TenantUse;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes messages as MessagePack frames and decodes them. */
final class PeerCodec extends MessageToMessageCodec<ByteBuf, PeerMessage> {

  private static final ObjectMapper MAPPER =
      new ObjectMapper(new MessagePackFactory())
          .addMixIn(TenantUse.class, UseArrayForm.class)
          .addMixIn(AnswerTimes.class, TimesArrayForm.class)
          .addMixIn(StoreVersion.class, VersionArrayForm.class);

  private static final ObjectReader READER = MAPPER.readerFor(PeerMessage.class);
  private static final ObjectWriter WRITER = MAPPER.writerFor(PeerMessage.class);

  /** Encodes a type without the names of its components, since messages contain it many times. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  @JsonPropertyOrder({"offered", "used"})
  private interface UseArrayForm {}

  /** Encodes {@link AnswerTimes} without the names of its components. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  @JsonPropertyOrder({"count", "totalMs"})
  private interface TimesArrayForm {}

  /** Encodes {@link StoreVersion} without the names of its components. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  @JsonPropertyOrder({"era", "number"})
  @JsonIgnoreProperties("absent")
  private interface VersionArrayForm {}

  @Override
  protected void encode(ChannelHandlerContext context, PeerMessage message, List<Object> out)
      throws IOException {
    byte[] bytes = toBytes(message);
    out.add(context.alloc().buffer(bytes.length).writeBytes(bytes));
  }

  /** Encodes a message that goes to several peers; channels accept the bytes in its place. */
  static byte[] toBytes(PeerMessage message) throws JsonProcessingException {
    return WRITER.writeValueAsBytes(message);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out)
      throws IOException {
    out.add(fromBytes(ByteBufUtil.getBytes(frame)));
  }

  static PeerMessage fromBytes(byte[] bytes) throws IOException {
    return READER.readValue(bytes);
  }
}
