package org.apricotstand.memory;

import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLongArray;
import org.apricotstand.control.ControlThread;
import org.apricotstand.limit.MemoryBudget;
import org.apricotstand.limit.MemoryBudget.Excess;
import org.apricotstand.limit.MemoryBudget.Kind;
import org.apricotstand.limit.MemoryHolder;
import org.apricotstand.observe.Metrics;
import org.apricotstand.port.AnswerLimits;
import org.apricotstand.port.MemoryLimits;

/**
 * Keeps the memory of callers and targets within the budget of the instance: tells holders to give
 * up what the budget chooses, and reports it. Belongs to the traffic thread.
 *
 * <pre>{@code
 * MemoryBudget<MemoryHolder>.Account account = memory.open(this, "");
 * account.update(Kind.BODY, bytes, nowMs);
 * memory.releaseExcess();
 * }</pre>
 */
public final class MemoryLimiter {

  /** Code of requests that are refused because memory is short. */
  public static final String MEMORY_SHORT = "memory_short";

  /** Time after which a caller may send such a request again. */
  public static final long RETRY_MS = 1_000;

  private final MemoryBudget<MemoryHolder> budget;
  private final RejectionLog rejections;
  private final AtomicLongArray published = new AtomicLongArray(Kind.values().length);

  /** Creates a limiter that holds nothing, and registers the metrics of what is held by kind. */
  public MemoryLimiter(MemoryLimits limits, AnswerLimits answerLimits, Metrics metrics) {
    this.budget = new MemoryBudget<>(limits.maxHeldBytes(), answerLimits.maxHeldTotalBytes());
    this.rejections = new RejectionLog(metrics);
    for (Kind kind : Kind.values()) {
      metrics.gauge("memory.held." + nameOf(kind), () -> published.get(kind.ordinal()));
    }
  }

  private static String nameOf(Kind kind) {
    return kind.name().toLowerCase(Locale.ROOT);
  }

  /** Opens an account; see {@link MemoryBudget#open}. */
  public MemoryBudget<MemoryHolder>.Account open(MemoryHolder holder, String source) {
    return budget.open(holder, source);
  }

  /** Returns whether a complete request may be passed on. */
  public boolean canRun(long requestBytes) {
    return budget.canRun(requestBytes);
  }

  /** Lets holders give up memory until the budget suffices. */
  public void releaseExcess() {
    long nowMs = ControlThread.nowMs();
    for (Optional<Excess<MemoryHolder>> excess = budget.takeExcess(nowMs);
        excess.isPresent();
        excess = budget.takeExcess(nowMs)) {
      Kind kind = excess.get().kind();
      rejections.record(nameOf(kind), nowMs);
      String reason = kind == Kind.ANSWER ? "answers too large together" : MEMORY_SHORT;
      excess.get().holder().giveUp(kind, reason);
    }
  }

  /**
   * Records that a caller was rejected or closed for another reason than {@link #releaseExcess}.
   */
  public void recordRejection(String reason) {
    rejections.record(reason, ControlThread.nowMs());
  }

  /** Publishes what is held to the metrics, and logs what has not been logged yet. */
  public void publish() {
    for (Kind kind : Kind.values()) {
      published.set(kind.ordinal(), budget.bytes(kind));
    }
    rejections.flush(ControlThread.nowMs());
  }
}
