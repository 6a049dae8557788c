package org.apricotstand.suspect;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class TraitTest {

  // Guards against instances that mistake one kind of trait for another.
  @Test
  void decodesWhatItEncodes() {
    Trait part = new Trait.PromptPart("5c1e");
    Trait adapter = new Trait.Adapter("m/a1");
    Trait request = new Trait.WholeRequest("5c1e");
    assertThat(Trait.decode(part.encode())).hasValue(part);
    assertThat(Trait.decode(adapter.encode())).hasValue(adapter);
    assertThat(Trait.decode(request.encode())).hasValue(request);
  }

  // Guards against a failure on traits that a newer instance reports.
  @Test
  void ignoresUnknownKinds() {
    assertThat(Trait.decode("weather/rain")).isEmpty();
    assertThat(Trait.decode("")).isEmpty();
  }
}
