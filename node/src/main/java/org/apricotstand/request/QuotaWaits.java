package org.apricotstand.request;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apricotstand.front.CallHandler;

/** The calls that wait for credit of the relay. Belongs to the traffic thread. */
final class QuotaWaits {

  private final EventLoop loop;
  private final FleetNotifier fleetNotifier;
  private final Map<Long, Wait> waits = new HashMap<>();

  QuotaWaits(EventLoop loop, FleetNotifier fleetNotifier) {
    this.loop = loop;
    this.fleetNotifier = fleetNotifier;
  }

  /** What the wait of a call has ended with. A loan that is not taken is left to the relay. */
  interface Loan {

    /** Takes the cost of the call from the loan, if the relay has lent it in time. */
    boolean tryTake();

    QuotaTicket ticket();
  }

  /**
   * Asks for credit for a call and waits.
   *
   * @param next handles the call after its wait; called once unless the caller disconnects before
   */
  CallHandler.ActiveCall await(
      QuotaTicket ticket, long waitMs, Function<Loan, CallHandler.ActiveCall> next) {
    long number = ticket.askLoan(waitMs);
    Wait wait = new Wait(ticket, number, next);
    try {
      fleetNotifier.requestQuota(number, ticket.tenant(), ticket.cost());
    } catch (RuntimeException e) {
      ticket.endLoan(number);
      throw e;
    }
    waits.put(number, wait);
    wait.timer = loop.schedule(() -> wait.end(Answer.NONE), waitMs, TimeUnit.MILLISECONDS);
    return wait;
  }

  /** Ends the wait of a call, unless it has ended before. */
  void onAnswer(long number, boolean isLent) {
    Wait wait = waits.get(number);
    if (wait != null) {
      wait.end(isLent ? Answer.LENT : Answer.REFUSED);
    }
  }

  /** Ends all waits, since the process is about to end. */
  void endAll() {
    List.copyOf(waits.values()).forEach(wait -> wait.end(Answer.NONE));
  }

  private enum Answer {
    LENT,
    REFUSED,
    NONE
  }

  private final class Wait implements CallHandler.ActiveCall, Loan {

    private final QuotaTicket ticket;
    private final long number;
    private final Function<Loan, CallHandler.ActiveCall> next;
    private ScheduledFuture<?> timer;
    private Answer answer;
    private CallHandler.ActiveCall call;

    private Wait(QuotaTicket ticket, long number, Function<Loan, CallHandler.ActiveCall> next) {
      this.ticket = ticket;
      this.number = number;
      this.next = next;
    }

    private void end(Answer given) {
      if (stop()) {
        answer = given;
        try {
          call = next.apply(this);
        } finally {
          // A number that stays open would keep the relay's loans open until they expire.
          giveUp();
        }
      }
    }

    /** Stops waiting; returns false if the wait had ended before. */
    private boolean stop() {
      timer.cancel(false);
      return waits.remove(number) != null;
    }

    @Override
    public boolean tryTake() {
      if (answer == Answer.NONE) {
        ticket.endUnansweredLoan(number);
        return false;
      }
      return ticket.tryTakeLoan(number, answer == Answer.LENT);
    }

    private void giveUp() {
      ticket.endLoan(number);
    }

    @Override
    public QuotaTicket ticket() {
      return ticket;
    }

    @Override
    public void onCallerDisconnected() {
      if (stop()) {
        giveUp();
      } else if (call != null) {
        call.onCallerDisconnected();
      }
    }

    @Override
    public void onCallerWritable() {
      if (call != null) {
        call.onCallerWritable();
      }
    }
  }
}
