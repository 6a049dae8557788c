package org.apricotstand.peer;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

class PeerCodecTest {

  // Guards against bytes for control that grow unnoticed with messages that each member exchanges
  // all the time.
  @Test
  void questionsAboutTheConfigurationAreShort() throws IOException {
    long longTimeMs = 4_000_000_000L;
    List<PeerMessage> messages =
        List.of(
            new PeerMessage.ConfigurationAsked(longTimeMs),
            new PeerMessage.ConfigurationConfirmed(longTimeMs, longTimeMs, 5_000));
    for (PeerMessage message : messages) {
      assertThat(PeerCodec.toBytes(message).length).isLessThan(100);
    }
  }
}
