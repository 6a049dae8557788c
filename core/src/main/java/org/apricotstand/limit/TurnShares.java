package org.apricotstand.limit;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Map;

/**
 * Divides the turns of one thread among the sources whose input it handles. A source whose input is
 * expensive to handle, such as an answer in chunks of one byte, uses up its share of a turn and
 * waits for the next one, while others are handled.
 *
 * <p>Work is counted in bytes: each byte of input counts as one, each decoded message or header
 * line as {@link #MESSAGE_WORK} more. It does not depend on the speed of the machine.
 *
 * <pre>{@code
 * TurnShares.Source source = shares.open("target-7");
 * while (input.hasBytes() && source.hasRoom()) {
 *   source.record(handleSome(input));
 * }
 * shares.beginTurn(); // once the other events of the thread were handled
 * source.close();
 * }</pre>
 */
public final class TurnShares {

  /** Work of a message besides its bytes; a chunk of one byte costs as much as so many bytes. */
  public static final int MESSAGE_WORK = 128;

  private final long maxTurnWork;
  private final long maxSourceWork;
  private final Map<String, Source> sources = new HashMap<>();
  private long turn;
  private long turnWork;

  /**
   * Creates shares without sources.
   *
   * @param maxTurnWork work of all sources in a turn
   * @param maxSourceWork work of one source in a turn
   */
  public TurnShares(long maxTurnWork, long maxSourceWork) {
    checkArgument(maxSourceWork > 0, "maxSourceWork must be positive: %s", maxSourceWork);
    checkArgument(
        maxTurnWork >= maxSourceWork,
        "maxTurnWork %s is less than maxSourceWork %s",
        maxTurnWork,
        maxSourceWork);
    this.maxTurnWork = maxTurnWork;
    this.maxSourceWork = maxSourceWork;
  }

  /** Returns the source of a name, which all that open it share until each has closed it. */
  public Source open(String name) {
    Source source = sources.computeIfAbsent(name, Source::new);
    source.users++;
    return source;
  }

  /** Begins a turn: each source has its whole share again. */
  public void beginTurn() {
    turn++;
    turnWork = 0;
  }

  /** Returns whether input of any source may be handled in this turn. */
  public boolean hasRoom() {
    return turnWork < maxTurnWork;
  }

  /** Returns the number of open sources. */
  int sourceCount() {
    return sources.size();
  }

  /** Where input comes from, such as all connections to one target. */
  public final class Source {

    private final String name;
    private int users;
    private long workTurn;
    private long work;

    private Source(String name) {
      this.name = name;
    }

    /** Returns whether input of this source may be handled in this turn. */
    public boolean hasRoom() {
      return TurnShares.this.hasRoom() && workOfTurn() < maxSourceWork;
    }

    /** Records work that was done for this source in this turn. */
    public void record(long doneWork) {
      work = workOfTurn() + doneWork;
      workTurn = turn;
      turnWork += doneWork;
    }

    private long workOfTurn() {
      return workTurn == turn ? work : 0;
    }

    /** Forgets the source when all that opened it have closed it. */
    public void close() {
      users--;
      if (users == 0) {
        sources.remove(name);
      }
    }
  }
}
