package org.apricotstand.sse;

import static com.google.common.truth.Truth.assertThat;

import com.sun.management.ThreadMXBean;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class EventCollectorTest {

  private static final String STREAM = "id: 1\ndata: a\n\n: ping\r\n\r\n\nid: 2\r\ndata: b\r\n\r\n";

  /** Records the lines and ends of events, and accepts a number of them. */
  private static final class RecordingListener implements EventCollector.EventListener {
    private final List<String> calls = new ArrayList<>();
    private int acceptedEvents = Integer.MAX_VALUE;

    @Override
    public void onLine(String start, boolean isWhole) {
      calls.add(isWhole ? start : start.length() + " bytes");
    }

    @Override
    public boolean onEventEnd() {
      calls.add("end");
      acceptedEvents--;
      return acceptedEvents >= 0;
    }
  }

  private final RecordingListener listener = new RecordingListener();
  private final EventCollector collector = new EventCollector(listener);

  private String feed(String part) {
    ByteBuf bytes = Unpooled.copiedBuffer(part, StandardCharsets.UTF_8);
    ByteBuf events = collector.feed(bytes);
    String text = events.toString(StandardCharsets.UTF_8);
    events.release();
    bytes.release();
    return text;
  }

  // Guards against lost, repeated or half events when a stream arrives in parts of any size.
  @Property(seed = "11")
  void returnsWholeEventsForPartsOfAnySize(
      @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 15) Integer> sizes) {
    RecordingListener lines = new RecordingListener();
    EventCollector anyParts = new EventCollector(lines);
    StringBuilder returned = new StringBuilder();
    int start = 0;
    List<Integer> allSizes = new ArrayList<>(sizes);
    allSizes.add(STREAM.length());
    for (int size : allSizes) {
      int end = Math.min(STREAM.length(), start + size);
      ByteBuf part = Unpooled.copiedBuffer(STREAM.substring(start, end), StandardCharsets.US_ASCII);
      returned.append(anyParts.feed(part).toString(StandardCharsets.US_ASCII));
      start = end;
    }
    assertThat(returned.toString()).isEqualTo(STREAM);
    assertThat(lines.calls)
        .containsExactly(
            "id: 1", "data: a", "end", ": ping", "end", "end", "id: 2", "data: b", "end")
        .inOrder();
  }

  @Test
  void anIncompleteEventIsKeptUntilItsEnd() {
    assertThat(feed("data: a\n\ndata: b")).isEqualTo("data: a\n\n");
    assertThat(collector.incompleteBytes()).isEqualTo(7);
    assertThat(feed("\n\n")).isEqualTo("data: b\n\n");
    assertThat(collector.incompleteBytes()).isEqualTo(0);
  }

  // Guards against an event behind one that does not continue the stream.
  @Test
  void nothingIsReturnedBehindAnEventThatIsNotAccepted() {
    listener.acceptedEvents = 1;
    assertThat(feed("data: a\n\ndata: b\n\ndata: c\n\n")).isEqualTo("data: a\n\n");
    assertThat(feed("data: d\n\n")).isEmpty();
    assertThat(collector.incompleteBytes()).isEqualTo(0);
  }

  // Guards against the line of a broken stream that is joined to the first one of the next answer.
  @Test
  void anIncompleteEventThatIsTakenDoesNotBeginTheNextOne() {
    feed("id: 1");
    assertThat(collector.takeIncomplete().toString(StandardCharsets.US_ASCII)).isEqualTo("id: 1");
    feed("data: a\n\n");
    assertThat(listener.calls).containsExactly("data: a", "end").inOrder();
  }

  // Guards against a line without end that is kept once more.
  @Test
  void aLongLineIsReportedByItsStart() {
    assertThat(feed("x".repeat(2_000) + "\n\n")).hasLength(2_002);
    assertThat(listener.calls)
        .containsExactly(EventCollector.MAX_LINE_BYTES + " bytes", "end")
        .inOrder();
  }

  // Guards against work that grows with the square of an event: each part of an event without end
  // was joined to all before it and searched again, which kept the traffic thread busy for 15 s.
  @Test
  void theMemoryUsedForAnEventGrowsWithItsLength() {
    int eventBytes = 262_144;
    ByteBuf part = Unpooled.copiedBuffer("x".repeat(64), StandardCharsets.US_ASCII);
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long before = threads.getCurrentThreadAllocatedBytes();
    for (int bytes = 0; bytes < eventBytes; bytes += part.readableBytes()) {
      collector.feed(part);
    }
    long allocated = threads.getCurrentThreadAllocatedBytes() - before;
    assertThat(collector.incompleteBytes()).isEqualTo(eventBytes);
    assertThat(allocated).isLessThan(16L * eventBytes);
  }
}
