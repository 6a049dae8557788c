package org.apricotstand.serve;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import org.apricotstand.control.ControlThread;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class DrainRunnerTest {

  private static final long GRACE_MS = 4_500;

  /** Time after the start of the drain at which the only request ends. */
  private static final long REQUEST_END_MS = 3_400;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  /** An instance with one request; some of its steps fail. */
  private static final class FailingSteps implements DrainSteps {
    private final long endMs = ControlThread.nowMs() + REQUEST_END_MS;
    private final List<String> calls = new ArrayList<>();
    private final boolean failsAtLeave;
    private final boolean failsAtEnd;
    private boolean failsAtEachLook;
    private int looks;

    FailingSteps(boolean failsAtLeave, boolean failsAtEnd) {
      this.failsAtLeave = failsAtLeave;
      this.failsAtEnd = failsAtEnd;
    }

    @Override
    public void leave(long refuseFromMs, long endMs) {
      calls.add("leave");
      if (failsAtLeave) {
        throw new IllegalStateException("leave");
      }
    }

    @Override
    public void endRequests() {
      calls.add("end");
      throw new IllegalStateException("end");
    }

    @Override
    public void stopAccepting() {
      calls.add("stop");
    }

    @Override
    public void releaseEngines() {
      calls.add("release");
    }

    @Override
    public int openRequests() {
      looks++;
      if (failsAtEachLook || looks == 2) {
        throw new IllegalStateException("look");
      }
      return failsAtEnd || ControlThread.nowMs() < endMs ? 1 : 0;
    }

    @Override
    public int activeRequests() {
      return 0;
    }

    @Override
    public int openConnections() {
      return 0;
    }

    @Override
    public boolean isReleased() {
      return true;
    }
  }

  @AfterEach
  void stop() {
    group.shutdownGracefully();
  }

  private long drain(DrainSteps steps) {
    long startMs = ControlThread.nowMs();
    new DrainRunner(group.next(), steps).run(startMs + GRACE_MS);
    return ControlThread.nowMs() - startMs;
  }

  // Guards against a process that ends under running requests, and goes on taking others until
  // then, because one step of its drain failed.
  @Test
  void aStepThatFailsDoesNotEndTheDrain() {
    FailingSteps steps = new FailingSteps(true, false);
    assertThat(drain(steps)).isAtLeast(REQUEST_END_MS);
    assertThat(steps.calls).containsExactly("leave", "stop", "release").inOrder();
  }

  // Guards against requests that are cut off at the end of the process without a final answer,
  // because the state of the instance could not be read.
  @Test
  void anInstanceWhoseStateCannotBeReadEndsItsRequests() {
    FailingSteps steps = new FailingSteps(false, true);
    steps.failsAtEachLook = true;
    drain(steps);
    assertThat(steps.calls).containsExactly("leave", "end", "stop", "release").inOrder();
  }

  // Guards against requests that are accepted until the process is gone, because the step that ends
  // the open ones failed.
  @Test
  void anActionThatFailsDoesNotKeepOthersFromBeingDone() {
    FailingSteps steps = new FailingSteps(false, true);
    drain(steps);
    assertThat(steps.calls).containsExactly("leave", "end", "stop", "release").inOrder();
  }
}
