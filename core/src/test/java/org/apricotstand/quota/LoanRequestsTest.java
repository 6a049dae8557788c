package org.apricotstand.quota;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class LoanRequestsTest {

  private final LoanRequests requests = new LoanRequests();

  // Guards against waits that make a request late.
  @Test
  void aWaitIsAPartOfTheObjective() {
    assertThat(LoanRequests.waitMs(2_000)).isEqualTo(100);
    assertThat(LoanRequests.waitMs(200)).isEqualTo(50);
  }

  // Guards against credit that is used after its deadline, after a pause or a late message.
  @Test
  void anAnswerCountsUntilTheDeadline() {
    long first = requests.ask("a", 10, 100, 1_000);
    assertThat(requests.onAnswer(first, true, 1_100)).isFalse();
    assertThat(requests.onAnswer(first, true, 1_099)).isTrue();
  }

  // Guards against answers that arrive twice, or for a request that has ended.
  @Test
  void anAnswerToASettledRequestHasNoEffect() {
    long number = requests.ask("a", 10, 100, 1_000);
    requests.settle(number);
    assertThat(requests.onAnswer(number, true, 1_001)).isFalse();
    assertThat(requests.onAnswer(number, false, 1_001)).isFalse();
    assertThat(requests.mayAsk("a", 10, 1_001)).isTrue();
  }

  // Guards against a report that settles a loan whose use it does not contain.
  @Test
  void aNumberIsSettledWhenAllBeforeItAre() {
    long first = requests.ask("a", 10, 100, 1_000);
    long second = requests.ask("a", 10, 100, 1_000);
    long third = requests.ask("a", 10, 100, 1_000);
    assertThat(requests.settle(second)).isLessThan(first);
    assertThat(requests.settle(first)).isEqualTo(second);
    assertThat(requests.settle(third)).isEqualTo(third);
  }

  // Guards against one question for each request in overload or while the relay is lost.
  @Test
  void refusedQuestionsAreNotRepeatedAtOnce() {
    long number = requests.ask("a", 10, 100, 1_000);
    requests.onAnswer(number, false, 1_010);
    requests.settle(number);
    assertThat(requests.mayAsk("a", 10, 1_050)).isFalse();
    assertThat(requests.mayAsk("a", 9, 1_050)).isTrue();
    assertThat(requests.mayAsk("b", 10, 1_050)).isTrue();
    assertThat(requests.mayAsk("a", 10, 1_110)).isTrue();
    long unanswered = requests.ask("a", 10, 100, 2_000);
    requests.onUnanswered(unanswered, 2_100);
    requests.settle(unanswered);
    assertThat(requests.mayAsk("a", 1, 2_599)).isFalse();
    assertThat(requests.mayAsk("a", 1, 2_600)).isTrue();
  }
}
