package org.apricotstand.suspect;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class PromptPartsTest {

  // Guards against blaming the part that belongs to one request alone.
  @Test
  void leavesOutTheLastPart() {
    assertThat(PromptParts.shared("5c1e:800, 91bd:410,e440:250"))
        .containsExactly("5c1e", "91bd")
        .inOrder();
    assertThat(PromptParts.shared("e440:250")).isEmpty();
  }

  @Test
  void hasNoPartsWithoutADeclaration() {
    assertThat(PromptParts.shared(null)).isEmpty();
    assertThat(PromptParts.shared("")).isEmpty();
  }

  // Guards against a request whose endless list of parts fills the memory of the instance.
  @Test
  void readsABoundedNumberOfParts() {
    String declared = "a:1,".repeat(1_000) + "own:1";
    assertThat(PromptParts.shared(declared)).hasSize(PromptParts.MAX_PARTS);
  }
}
