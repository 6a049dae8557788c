package org.apricotstand.input;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apricotstand.limit.TurnShares;

/**
 * The turns of one event loop: lets the gates of its connections handle input, and those that have
 * used their share of a turn wait until the loop has handled other events. Belongs to the event
 * loop.
 *
 * <pre>{@code
 * InputTurns turns = InputTurns.of(loop);
 * InputGate gate = new InputGate(turns);
 * channel.pipeline().addLast(gate, decoder, gate.meter(), ...);
 * }</pre>
 */
public final class InputTurns {

  /** Work of a turn; at least as many bytes as four sources may send in full. */
  private static final long MAX_TURN_WORK = 262_144;

  /** Work of one source in a turn; some 500 messages of a few bytes, or four reads of a body. */
  private static final long MAX_SOURCE_WORK = 65_536;

  /** Work of one connection of a caller in a turn; there are many more of them than of targets. */
  private static final long MAX_CALLER_WORK = 16_384;

  private final TurnShares shares;
  private final Consumer<Runnable> nextTurn;

  /** Gates that wait, by source; the source that has waited longest is the first. */
  private final Map<TurnShares.Source, Deque<InputGate>> waiting = new LinkedHashMap<>();

  private boolean turnScheduled;

  /**
   * Creates turns.
   *
   * @param nextTurn runs a task when other events of the loop were handled
   */
  InputTurns(TurnShares shares, Consumer<Runnable> nextTurn) {
    this.shares = shares;
    this.nextTurn = nextTurn;
  }

  /** Creates the turns of an event loop for connections to targets or services. */
  public static InputTurns of(EventLoop loop) {
    return of(loop, MAX_SOURCE_WORK);
  }

  /** Creates the turns of an event loop for connections of callers. */
  public static InputTurns ofCallers(EventLoop loop) {
    return of(loop, MAX_CALLER_WORK);
  }

  private static InputTurns of(EventLoop loop, long maxSourceWork) {
    // A task that is executed runs in the same iteration of the loop; a scheduled one does not.
    return new InputTurns(
        new TurnShares(MAX_TURN_WORK, maxSourceWork),
        task -> loop.schedule(task, 0, TimeUnit.NANOSECONDS));
  }

  TurnShares.Source open(String sourceName) {
    return shares.open(sourceName);
  }

  /** Lets a gate go on in the next turn in which its source has room. */
  void await(InputGate gate) {
    waiting.computeIfAbsent(gate.source(), key -> new ArrayDeque<>()).addLast(gate);
    scheduleTurn();
  }

  private void scheduleTurn() {
    if (!turnScheduled) {
      turnScheduled = true;
      nextTurn.accept(this::runTurn);
    }
  }

  /** Removes a gate that does not wait any more. */
  void remove(InputGate gate) {
    Deque<InputGate> gates = waiting.get(gate.source());
    if (gates != null && gates.remove(gate) && gates.isEmpty()) {
      waiting.remove(gate.source());
    }
  }

  private void runTurn() {
    turnScheduled = false;
    shares.beginTurn();
    for (TurnShares.Source source : List.copyOf(waiting.keySet())) {
      if (!shares.hasRoom()) {
        break;
      }
      runGatesOf(source);
    }
    if (!waiting.isEmpty()) {
      scheduleTurn();
    }
  }

  /**
   * Runs the gates of a source while it has room; those that are left wait behind other sources.
   */
  private void runGatesOf(TurnShares.Source source) {
    Deque<InputGate> gates = waiting.remove(source);
    if (gates == null) {
      return;
    }
    while (!gates.isEmpty() && source.hasRoom()) {
      gates.removeFirst().resume();
    }
    if (!gates.isEmpty()) {
      // A gate that used up the share while it ran waits here already, and goes behind the others.
      Deque<InputGate> waitingAgain = waiting.remove(source);
      if (waitingAgain != null) {
        gates.addAll(waitingAgain);
      }
      waiting.put(source, gates);
    }
  }
}
