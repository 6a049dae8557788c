package org.apricotstand.kernel;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class KernelTest {

  private final List<String> events = new ArrayList<>();
  private final Kernel kernel = new Kernel();

  private final class RecordingService implements Service {
    private final String name;
    private final boolean failing;

    RecordingService(String name, boolean failing) {
      this.name = name;
      this.failing = failing;
    }

    @Override
    public void start() {
      if (failing) {
        throw new IllegalStateException(name);
      }
      events.add("start " + name);
    }

    @Override
    public void stop() {
      events.add("stop " + name);
    }
  }

  /** Guards against stopping a service before the services that use it. */
  @Test
  void stopsInReverseOrder() {
    kernel.register("a", new RecordingService("a", false));
    kernel.register("b", new RecordingService("b", false));
    kernel.start();
    kernel.close();
    assertThat(events).containsExactly("start a", "start b", "stop b", "stop a").inOrder();
  }

  /** Guards against services that keep running after a later one failed to start. */
  @Test
  void stopsStartedServicesWhenOneFails() {
    kernel.register("a", new RecordingService("a", false));
    kernel.register("b", new RecordingService("b", true));
    assertThrows(IllegalStateException.class, kernel::start);
    assertThat(events).containsExactly("start a", "stop a").inOrder();
  }

  /** Guards against one service replacing another under the same name. */
  @Test
  void refusesSecondServiceOfAName() {
    kernel.register("a", new RecordingService("a", false));
    assertThrows(
        IllegalArgumentException.class,
        () -> kernel.register("a", new RecordingService("a", false)));
  }
}
