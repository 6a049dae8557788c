package org.apricotstand.ownership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.apricotstand.lease.LeaseRow;
import org.apricotstand.lease.OwnerRow;
import org.apricotstand.lease.Versioned;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;
import org.apricotstand.platform.TableService.Row;
import org.junit.jupiter.api.Test;

class RowCodecTest {

  private static final InstanceId A = new InstanceId("a");

  /** Guards against a field that is lost on the way through the table service. */
  @Test
  void decodesWhatItEncodes() {
    LeaseRow lease = new LeaseRow(A, 1L << 40, 3, 4, LeaseRow.LeaseState.RELEASED);
    OwnerRow owner =
        new OwnerRow(
            new TargetId("engine-1"),
            A,
            1L << 40,
            3,
            5,
            6,
            List.of(A, new InstanceId("b")),
            List.of(new OwnerRow.FormerOwner(new InstanceId("c"), 7, 4)));
    assertThat(RowCodec.decodeLease(Optional.of(new Row("leases", "a", 9, RowCodec.encode(lease)))))
        .isEqualTo(new Versioned<>(9, lease));
    assertThat(RowCodec.decodeOwner(Optional.of(new Row("owners", "x", 8, RowCodec.encode(owner)))))
        .isEqualTo(new Versioned<>(8, owner));
    assertThat(RowCodec.decodeOwner(Optional.empty()).isAbsent()).isTrue();
  }
}
