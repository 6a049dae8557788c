package org.apricotstand.limit;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Accounts for the memory that an instance holds for callers and targets together, and chooses what
 * is given up when it runs short.
 *
 * <p>Requests that have not ended are given up first, since a caller that never ends its request
 * costs memory without ever being served. Among them goes the one with the most bytes and the
 * longest pause since its last progress. Its age does not count, since slow senders would then
 * outlast new uploads. Then go requests that wait behind others on their connection, then answers
 * that are held until they are complete, and last output that is not read. Requests that were
 * passed on to a target are never given up; {@link #canRun} keeps them from filling the budget.
 *
 * <p>A target in trouble sends more bytes than all others and to many requests at once. So the
 * answer that is given up is the largest one of the source whose answers hold the most, and an
 * answer of another source is kept even if it is the largest of all.
 *
 * <p>An update takes constant time; the choice is linear in the number of holders.
 *
 * <pre>{@code
 * MemoryBudget<Connection>.Account account = budget.open(connection, "");
 * account.update(Kind.BODY, bodyBytes, nowMs);
 * budget.takeExcess(nowMs).ifPresent(excess -> excess.holder().giveUp(excess.kind()));
 * account.close();
 * }</pre>
 *
 * @param <H> what holds memory
 */
public final class MemoryBudget<H> {

  /**
   * Memory of one header line besides its characters: an entry of the header table and two strings,
   * and the entry of the copy that is sent to a target.
   */
  public static final int HEADER_LINE_BYTES = 200;

  /** An eighth of the budget is left to answers and output that are yet to come. */
  private static final int ANSWER_ROOM_DIVISOR = 8;

  /** Large requests leave another eighth of the budget to small ones when they run. */
  private static final int SMALL_REQUEST_ROOM_DIVISOR = 8;

  /**
   * Requests may run up to half of the budget whatever answers and output hold, so that callers
   * that read nothing stop no request.
   */
  private static final int RUNNING_FLOOR_DIVISOR = 2;

  /** Pauses of a sender that are much shorter than this are usual and hardly count. */
  private static final long USUAL_PAUSE_MS = 1_000;

  /** Requests below this part of the budget are small. */
  private static final int SMALL_REQUEST_DIVISOR = 64;

  private static final Set<Kind> INCOMPLETE = EnumSet.of(Kind.HEAD, Kind.BODY);
  private static final Set<Kind> QUEUED = EnumSet.of(Kind.QUEUED);
  private static final Set<Kind> ANSWER = EnumSet.of(Kind.ANSWER);
  private static final Set<Kind> OUTPUT = EnumSet.of(Kind.OUTPUT);

  /** What memory is held for. */
  public enum Kind {
    /** Heads of requests that have not ended. */
    HEAD,
    /** Bodies of requests that have not ended. */
    BODY,
    /** Complete requests that wait for the answers to those before them. */
    QUEUED,
    /** Requests that may have been passed on to a target and have no complete answer. */
    RUNNING,
    /** Answers that are kept until they are complete. */
    ANSWER,
    /** Output that its reader has not taken. */
    OUTPUT
  }

  /**
   * What has to be given up.
   *
   * @param holder holder whose memory it is
   * @param kind what is given up; a request that has not ended is given up with head and body
   */
  public record Excess<H>(H holder, Kind kind) {}

  private final long maxBytes;
  private final long maxAnswerBytes;
  private final Set<Account> accounts = new LinkedHashSet<>();
  private final long[] totals = new long[Kind.values().length];
  private long totalBytes;

  /**
   * Creates a budget.
   *
   * @param maxBytes bytes that may be held together
   * @param maxAnswerBytes bytes of these that answers may hold
   */
  public MemoryBudget(long maxBytes, long maxAnswerBytes) {
    checkArgument(maxBytes > 0, "maxBytes must be positive: %s", maxBytes);
    checkArgument(maxAnswerBytes > 0, "maxAnswerBytes must be positive: %s", maxAnswerBytes);
    this.maxBytes = maxBytes;
    this.maxAnswerBytes = maxAnswerBytes;
  }

  /** Returns the memory of a header line, with that of its objects. */
  public static int headerLineBytes(CharSequence name, CharSequence value) {
    return HEADER_LINE_BYTES + name.length() + value.length();
  }

  /**
   * Opens an account that holds nothing yet.
   *
   * @param source where the bytes of answers come from; any text for other kinds
   */
  public Account open(H holder, String source) {
    return new Account(holder, source);
  }

  /** Returns the bytes that are held for one purpose. */
  public long bytes(Kind kind) {
    return totals[kind.ordinal()];
  }

  /** Returns the bytes that are held. */
  public long totalBytes() {
    return totalBytes;
  }

  /** Returns the bytes that may be held together. */
  public long maxBytes() {
    return maxBytes;
  }

  /**
   * Returns whether a complete request may be passed on. All requests leave room for answers and
   * output, so that a target that answers nothing costs no other request its answer. Large requests
   * also leave a part of the budget to small ones, so that a target that answers nothing to large
   * requests stops no small one.
   */
  public boolean canRun(long requestBytes) {
    long answerBytes = bytes(Kind.ANSWER) + bytes(Kind.OUTPUT) + maxBytes / ANSWER_ROOM_DIVISOR;
    boolean isSmall = requestBytes <= maxBytes / SMALL_REQUEST_DIVISOR;
    long smallRequestBytes = isSmall ? 0 : maxBytes / SMALL_REQUEST_ROOM_DIVISOR;
    long reserved = Math.min(answerBytes, maxBytes / RUNNING_FLOOR_DIVISOR) + smallRequestBytes;
    return bytes(Kind.RUNNING) + requestBytes <= maxBytes - reserved;
  }

  /**
   * Chooses what has to be given up, and accounts for it as given up. The holder must release the
   * memory. Call again until the result is empty.
   */
  public Optional<Excess<H>> takeExcess(long nowMs) {
    Optional<Excess<H>> excess = Optional.empty();
    if (bytes(Kind.ANSWER) > maxAnswerBytes) {
      excess = largestAnswer();
    } else if (totalBytes > maxBytes) {
      excess =
          heaviest(INCOMPLETE, account -> account.incompleteWeight(nowMs))
              .or(() -> heaviest(QUEUED, account -> account.bytesOf(Kind.QUEUED)))
              .or(this::largestAnswer)
              .or(() -> heaviest(OUTPUT, account -> account.outputWeight(nowMs)));
    }
    return excess;
  }

  private Optional<Excess<H>> heaviest(Set<Kind> kinds, ToDoubleFunction<Account> weight) {
    return accounts.stream()
        .filter(account -> kinds.stream().anyMatch(kind -> account.bytesOf(kind) > 0))
        .max(Comparator.comparingDouble(weight))
        .map(account -> account.give(kinds));
  }

  private Optional<Excess<H>> largestAnswer() {
    Map<String, Long> bytesBySource = new HashMap<>();
    List<Account> answers =
        accounts.stream().filter(account -> account.bytesOf(Kind.ANSWER) > 0).toList();
    answers.forEach(
        account -> bytesBySource.merge(account.source, account.bytesOf(Kind.ANSWER), Long::sum));
    return bytesBySource.entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey)
        .flatMap(
            source ->
                answers.stream()
                    .filter(account -> account.source.equals(source))
                    .max(Comparator.comparingLong(account -> account.bytesOf(Kind.ANSWER))))
        .map(account -> account.give(ANSWER));
  }

  /** The memory of one holder. */
  public final class Account {

    private final H holder;
    private final String source;
    private final long[] bytes = new long[Kind.values().length];
    private long heldBytes;
    private long requestProgressMs;
    private long outputSinceMs;
    private long outputProgressMs;

    private Account(H holder, String source) {
      this.holder = holder;
      this.source = source;
    }

    /**
     * Sets the bytes that are held for one purpose.
     *
     * @param newBytes bytes held now
     * @param nowMs monotonic time
     */
    public void update(Kind kind, long newBytes, long nowMs) {
      checkArgument(newBytes >= 0, "bytes must not be negative: %s", newBytes);
      long oldBytes = bytesOf(kind);
      if (newBytes == oldBytes) {
        return;
      }
      if (INCOMPLETE.contains(kind)) {
        requestProgressMs = nowMs;
      } else if (kind == Kind.OUTPUT) {
        outputSinceMs = oldBytes == 0 ? nowMs : outputSinceMs;
        // Bytes that are added to the output are no progress of its reader.
        outputProgressMs = oldBytes == 0 || newBytes < oldBytes ? nowMs : outputProgressMs;
      }
      set(kind, newBytes);
    }

    private void set(Kind kind, long newBytes) {
      long added = newBytes - bytesOf(kind);
      bytes[kind.ordinal()] = newBytes;
      totals[kind.ordinal()] += added;
      totalBytes += added;
      heldBytes += added;
      if (heldBytes == 0) {
        accounts.remove(this);
      } else if (heldBytes == added) {
        accounts.add(this);
      }
    }

    /** Accounts for everything as released. The account may be used again. */
    public void close() {
      for (Kind kind : Kind.values()) {
        set(kind, 0);
      }
    }

    /** Returns the bytes that are held for one purpose. */
    public long bytesOf(Kind kind) {
      return bytes[kind.ordinal()];
    }

    private long incompleteBytes() {
      return bytesOf(Kind.HEAD) + bytesOf(Kind.BODY);
    }

    private Excess<H> give(Set<Kind> kinds) {
      Kind largest = kinds.stream().max(Comparator.comparingLong(this::bytesOf)).orElseThrow();
      kinds.forEach(kind -> set(kind, 0));
      return new Excess<>(holder, largest);
    }

    /** Returns the bytes times the square of the pause, so that a long one outweighs many bytes. */
    private double incompleteWeight(long nowMs) {
      double pauses = 1.0 + (double) (nowMs - requestProgressMs) / USUAL_PAUSE_MS;
      return incompleteBytes() * pauses * pauses;
    }

    /**
     * Returns the bytes of the output, less the more of its age passed before the last progress.
     * One millisecond is added to both times, so that of those that have just begun the largest
     * weighs most.
     */
    private double outputWeight(long nowMs) {
      return bytesOf(Kind.OUTPUT)
          * (1.0 + nowMs - outputProgressMs)
          / (1.0 + nowMs - outputSinceMs);
    }
  }
}
