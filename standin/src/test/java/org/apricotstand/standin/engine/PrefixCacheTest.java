package org.apricotstand.standin.engine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.apache.commons.math3.random.Well19937c;
import org.junit.jupiter.api.Test;

/**
 * Guards against prefill that ignores cached blocks, and against a cache that grows without limit.
 */
final class PrefixCacheTest {

  private static final String BLOCK = "x".repeat(PrefixCache.BLOCK_CHARACTERS);

  @Test
  void sharedPrefixIsComputedOncePerAdapterVersion() {
    PrefixCache cache = cache(100, 0, 0);
    assertThat(cache.insertPrompt("a@v1", BLOCK + BLOCK + "first", 0)).isEqualTo(3);
    assertThat(cache.insertPrompt("a@v1", BLOCK + BLOCK + "second", 0)).isEqualTo(1);
    assertThat(cache.insertPrompt("b@v1", BLOCK + BLOCK + "second", 0)).isEqualTo(3);
  }

  @Test
  void evictsBlocksAboveTheLimit() {
    PrefixCache cache = cache(2, 0, 0);
    cache.insertPrompt("a@v1", BLOCK + "first", 0);
    cache.insertPrompt("b@v1", BLOCK + "first", 0);
    assertThat(cache.insertPrompt("a@v1", BLOCK + "first", 0)).isEqualTo(2);
  }

  @Test
  void eventsArePublishedLateAndWithGaps() {
    PrefixCache late = cache(100, 1_000, 0);
    late.insertPrompt("a@v1", BLOCK + BLOCK, 5_000);
    assertThat(late.publishedEvents(0, 5_999)).isEmpty();
    assertThat(late.publishedEvents(0, 6_000)).hasSize(2);
    PrefixCache lossy = cache(1_000, 0, 0.5);
    lossy.insertPrompt("a@v1", BLOCK.repeat(100), 0);
    List<PrefixCache.Event> published = lossy.publishedEvents(0, 0);
    assertThat(published.size()).isLessThan(100);
    assertThat(published.getLast().number()).isGreaterThan((long) published.size());
  }

  private static PrefixCache cache(int blocks, long lagMs, double loss) {
    EngineSettings.Behavior behavior =
        new EngineSettings.Behavior(1, blocks, 0, lagMs, loss, 0, 0, "", 1);
    return new PrefixCache(behavior, new Well19937c(1));
  }
}
