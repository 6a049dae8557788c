package org.apricotstand.http;

import io.netty.util.internal.PlatformDependent;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apricotstand.control.ControlThread;
import org.apricotstand.limit.MemoryBudget;
import org.apricotstand.limit.MemoryBudget.Excess;
import org.apricotstand.limit.MemoryBudget.Kind;
import org.apricotstand.limit.MemoryHolder;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;

/**
 * Accounts for the memory that HTTP servers and clients of one process hold, and has holders
 * release theirs when it runs short. Methods may be called from any thread.
 *
 * <pre>{@code
 * HttpMemory memory = HttpMemory.ofBytes(HttpMemory.defaultBytes(), metrics);
 * HttpMemory.Account account = memory.open(connection, "");
 * account.update(Kind.BODY, bodyBytes);
 * account.close();
 * }</pre>
 */
public final class HttpMemory {

  private static final EventLog LOG = EventLog.of(HttpMemory.class);
  private static final long LOG_INTERVAL_MS = 1_000;

  /** Code of requests that are refused because memory is short. */
  static final String MEMORY_SHORT = "memory_short";

  /**
   * Part of the heap that is left to everything else and to what is not collected yet. A byte that
   * is held may be on the heap twice, as received and as sent on.
   */
  private static final int HEAP_SHARE = 3;

  /** Part of direct memory that is left to the buffers of reads and writes. */
  private static final int DIRECT_RESERVE_SHARE = 4;

  private final Optional<MemoryBudget<MemoryHolder>> budget;
  private final Metrics metrics;
  private final Map<String, Integer> rejectionsSinceLog = new TreeMap<>();
  private long nextLogMs = Long.MIN_VALUE;

  private HttpMemory(Optional<MemoryBudget<MemoryHolder>> budget, Metrics metrics) {
    this.budget = budget;
    this.metrics = metrics;
  }

  /** Returns a memory that accounts for nothing, for servers that have known callers only. */
  public static HttpMemory unlimited() {
    return new HttpMemory(Optional.empty(), new Metrics());
  }

  /** Creates a memory of a number of bytes whose metrics are not published. */
  public static HttpMemory ofBytes(long maxBytes) {
    return new HttpMemory(Optional.of(new MemoryBudget<>(maxBytes, maxBytes)), new Metrics());
  }

  /** Creates a memory of a number of bytes and registers its metrics. */
  public static HttpMemory ofBytes(long maxBytes, Metrics metrics) {
    HttpMemory memory =
        new HttpMemory(Optional.of(new MemoryBudget<>(maxBytes, maxBytes)), metrics);
    metrics.gauge("memory.max_bytes", () -> maxBytes);
    metrics.gauge("memory.held_bytes", memory::totalBytes);
    for (Kind kind : Kind.values()) {
      metrics.gauge("memory.held." + nameOf(kind), () -> memory.bytes(kind));
    }
    return memory;
  }

  /**
   * Returns the bytes that this process can hold. Each of them may be on the heap and, while it is
   * read or written, in direct memory too.
   */
  public static long defaultBytes() {
    long heapBytes = Runtime.getRuntime().maxMemory();
    long directBytes = PlatformDependent.maxDirectMemory();
    return Math.min(heapBytes / HEAP_SHARE, directBytes - directBytes / DIRECT_RESERVE_SHARE);
  }

  /**
   * Opens an account that holds nothing yet.
   *
   * @param source where the bytes of answers come from; any text for other kinds
   */
  Account open(MemoryHolder holder, String source) {
    return new Account(budget.map(found -> found.open(holder, source)));
  }

  /**
   * Accounts for a request that is going to be handled.
   *
   * @return the account, or empty if the request must be refused
   */
  Optional<Account> openRunning(long requestBytes) {
    Account account = open((kind, reason) -> {}, "");
    synchronized (this) {
      if (budget.isPresent() && !budget.get().canRun(requestBytes)) {
        recordRejection(Kind.RUNNING);
        return Optional.empty();
      }
      account.set(Kind.RUNNING, requestBytes);
    }
    releaseExcess();
    return Optional.of(account);
  }

  private synchronized long totalBytes() {
    return budget.map(MemoryBudget::totalBytes).orElse(0L);
  }

  private synchronized long bytes(Kind kind) {
    return budget.map(found -> found.bytes(kind)).orElse(0L);
  }

  private void releaseExcess() {
    for (Excess<MemoryHolder> excess : takeExcess()) {
      excess.holder().giveUp(excess.kind(), MEMORY_SHORT);
    }
  }

  private synchronized List<Excess<MemoryHolder>> takeExcess() {
    List<Excess<MemoryHolder>> all = new ArrayList<>();
    budget.ifPresent(
        found -> {
          Optional<Excess<MemoryHolder>> next = found.takeExcess(ControlThread.nowMs());
          while (next.isPresent()) {
            all.add(next.get());
            recordRejection(next.get().kind());
            next = found.takeExcess(ControlThread.nowMs());
          }
        });
    return all;
  }

  /** Counts a rejection, and logs those since the last line unless that was a moment ago. */
  private void recordRejection(Kind kind) {
    metrics.count("memory.rejected." + nameOf(kind));
    rejectionsSinceLog.merge(nameOf(kind), 1, Integer::sum);
    long nowMs = ControlThread.nowMs();
    if (nowMs >= nextLogMs) {
      LOG.info("callers_rejected", "reasons", rejectionsSinceLog);
      rejectionsSinceLog.clear();
      nextLogMs = nowMs + LOG_INTERVAL_MS;
    }
  }

  private static String nameOf(Kind kind) {
    return kind.name().toLowerCase(Locale.ROOT);
  }

  /** Memory of one holder. Updates after {@link #close} have no effect. */
  final class Account {

    private final Optional<MemoryBudget<MemoryHolder>.Account> account;
    private boolean isClosed;

    private Account(Optional<MemoryBudget<MemoryHolder>.Account> account) {
      this.account = account;
    }

    /** Sets the bytes that are held for one purpose. */
    void update(Kind kind, long bytes) {
      if (account.isPresent()) {
        set(kind, bytes);
        releaseExcess();
      }
    }

    private void set(Kind kind, long bytes) {
      synchronized (HttpMemory.this) {
        if (!isClosed) {
          account.ifPresent(found -> found.update(kind, bytes, ControlThread.nowMs()));
        }
      }
    }

    /** Accounts for everything as released. */
    void close() {
      synchronized (HttpMemory.this) {
        isClosed = true;
        account.ifPresent(MemoryBudget.Account::close);
      }
    }
  }
}
