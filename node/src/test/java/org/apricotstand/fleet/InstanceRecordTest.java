package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class InstanceRecordTest {

  // Guards against instances that cannot read the addresses of each other.
  @Test
  void decodesWhatItEncodes() {
    InstanceRecord record = new InstanceRecord("n1", "d1", "10.0.0.1", 7_380, 36);
    assertThat(InstanceRecord.decode("n1", record.encode())).isEqualTo(record);
  }

  // Guards against an instance of an earlier version that the others cannot reach.
  @Test
  void decodesARowWithoutACapacity() {
    byte[] content = "d1 10.0.0.1 7380".getBytes(StandardCharsets.UTF_8);
    assertThat(InstanceRecord.decode("n1", content))
        .isEqualTo(new InstanceRecord("n1", "d1", "10.0.0.1", 7_380, 0));
  }

  // Guards against a row in another format that stops the discovery of instances.
  @Test
  void rejectsARowThatIsNotARecord() {
    byte[] content = "{}".getBytes(StandardCharsets.UTF_8);
    assertThrows(IllegalArgumentException.class, () -> InstanceRecord.decode("n1", content));
  }

  // Guards against a row of another writer that keeps an instance from following the list, because
  // nothing can be connected to its address.
  @Test
  void rejectsAddressesToWhichNothingCanBeSent() {
    for (String content :
        List.of("d 10.0.0.1 70000 4", "d 10.0.0.1 0", "d 10.0.0.1 -1", "d x 80")) {
      assertThrows(
          IllegalArgumentException.class,
          () -> InstanceRecord.decode("n", content.getBytes(StandardCharsets.UTF_8)));
    }
  }
}
