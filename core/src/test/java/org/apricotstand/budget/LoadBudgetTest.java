package org.apricotstand.budget;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class LoadBudgetTest {

  private static final double LOADS_PER_S = 2;

  private record Loan(int borrower, double tokens, long expiresAtMs) {}

  /**
   * Guards against instances that together exceed the limits of the weight store, also when
   * instances are cut off or the messages that lend tokens are late or lost.
   */
  @Property(seed = "21", tries = 300)
  void sumNeverExceedsTheLimits(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 9) int instances,
      @ForAll @IntRange(min = 0, max = 12) int inFlightLimit) {
    Random random = new Random(seed);
    List<LoadBudget> budgets = new ArrayList<>();
    for (int i = 0; i < instances; i++) {
      LoadBudget budget = new LoadBudget(0);
      budget.configure(LOADS_PER_S, inFlightLimit, new SharePosition(instances, i), 0);
      budgets.add(budget);
    }
    List<Loan> loansInTransit = new ArrayList<>();
    int started = 0;
    long nowMs = 0;
    for (int step = 0; step < 500; step++) {
      nowMs += random.nextInt(100);
      int index = random.nextInt(instances);
      LoadBudget budget = budgets.get(index);
      switch (random.nextInt(5)) {
        case 0 -> {
          int borrower = random.nextInt(instances);
          loansInTransit.add(
              new Loan(borrower, budget.lend(random.nextDouble(), nowMs), nowMs + 2_000));
        }
        case 1 -> {
          if (!loansInTransit.isEmpty()) {
            Loan loan = loansInTransit.remove(random.nextInt(loansInTransit.size()));
            if (random.nextInt(4) > 0) {
              budgets.get(loan.borrower()).borrow(loan.tokens(), loan.expiresAtMs());
            }
          }
        }
        case 2 -> {
          if (budget.inFlight() > 0) {
            budget.recordLoadEnd(nowMs);
          }
        }
        default -> started += budget.tryStartLoad(nowMs) ? 1 : 0;
      }
      assertThat((double) started).isAtMost(LOADS_PER_S * nowMs / 1_000 + 1e-6);
      assertThat(budgets.stream().mapToInt(LoadBudget::inFlight).sum()).isAtMost(inFlightLimit);
    }
  }

  /** Guards against a load that is refused although its instance has not used up its share. */
  @Test
  void allowsLoadsUpToItsShareOfTheRate() {
    LoadBudget budget = new LoadBudget(0);
    budget.configure(2, 8, new SharePosition(4, 0), 0);
    assertThat(budget.tryStartLoad(1_999)).isFalse();
    assertThat(budget.tryStartLoad(2_000)).isTrue();
    assertThat(budget.tryStartLoad(2_001)).isFalse();
    assertThat(budget.tryStartLoad(4_000)).isTrue();
  }

  /** Guards against a lent token that both instances use or that is used after it expired. */
  @Test
  void movesALentTokenUntilItExpires() {
    LoadBudget lender = new LoadBudget(0);
    lender.configure(2, 8, new SharePosition(4, 0), 0);
    LoadBudget borrower = new LoadBudget(0);
    borrower.configure(0, 8, new SharePosition(4, 1), 0);
    assertThat(lender.lend(3, 2_000)).isWithin(1e-9).of(1);
    assertThat(lender.mayStartLoad(2_000)).isFalse();
    borrower.borrow(1, 3_000);
    assertThat(borrower.mayStartLoad(2_999)).isTrue();
    assertThat(borrower.tryStartLoad(3_000)).isFalse();
  }

  /** Guards against lending the token that a load of the lender waits for. */
  @Test
  void doesNotLendATokenThatItsOwnLoadWaitsFor() {
    LoadBudget budget = new LoadBudget(0);
    budget.configure(2, 8, new SharePosition(4, 0), 0);
    assertThat(budget.tryStartLoad(1_900)).isFalse();
    assertThat(budget.takeUnmetDemand()).isTrue();
    assertThat(budget.takeUnmetDemand()).isFalse();
    assertThat(budget.lend(1, 2_000)).isEqualTo(0);
    assertThat(budget.lend(1, 2_400)).isWithin(1e-9).of(1);
  }

  /** Guards against unused fractions of tokens at several instances while a load waits. */
  @Test
  void startsALoadWithBorrowedFractionsOfTokens() {
    LoadBudget budget = new LoadBudget(0);
    budget.configure(1, 8, new SharePosition(4, 0), 0);
    assertThat(budget.missingTokens(2_000)).isWithin(1e-9).of(0.5);
    budget.borrow(0.3, 4_000);
    assertThat(budget.tryStartLoad(2_000)).isFalse();
    budget.borrow(0.4, 4_000);
    assertThat(budget.tryStartLoad(2_000)).isTrue();
    assertThat(budget.missingTokens(2_000)).isWithin(1e-9).of(0.8);
  }

  /** Guards against in-flight shares that add up to less than the limit. */
  @Test
  void sharesAddUpToTheInFlightLimit() {
    int started = 0;
    for (int i = 0; i < 3; i++) {
      LoadBudget budget = new LoadBudget(0);
      budget.configure(1_000, 8, new SharePosition(3, i), 0);
      for (long nowMs = 10; nowMs < 100; nowMs += 10) {
        started += budget.tryStartLoad(nowMs) ? 1 : 0;
      }
    }
    assertThat(started).isEqualTo(8);
  }
}
