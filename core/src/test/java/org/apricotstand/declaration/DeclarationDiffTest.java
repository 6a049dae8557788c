package org.apricotstand.declaration;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.apricotstand.declaration.DeclarationDiff.Change;
import org.apricotstand.declaration.DeclarationSet.Adapter;
import org.apricotstand.declaration.DeclarationSet.Model;
import org.apricotstand.declaration.DeclarationSet.PlainService;
import org.junit.jupiter.api.Test;

class DeclarationDiffTest {

  private static Adapter adapter(String name, int weight) {
    return new Adapter(
        name, "base", List.of("v1", "v2"), Map.of("v1", 1, "v2", weight), null, null, null);
  }

  private static DeclarationSet set(Adapter... adapters) {
    return new DeclarationSet(
        List.of(new Model("base")), List.of(adapters), null, null, null, null);
  }

  // Guards against reporting items that only changed their order.
  @Test
  void orderOfItemsIsIgnored() {
    assertThat(
            DeclarationDiff.between(
                set(adapter("a", 1), adapter("b", 2)), set(adapter("b", 2), adapter("a", 1))))
        .isEmpty();
  }

  // Guards against a change that is missed, or reported by list index instead of by item name.
  @Test
  void reportsChangedAddedAndRemovedFieldsByName() {
    List<Change> changes = DeclarationDiff.between(set(adapter("a", 1)), set(adapter("a", 5)));
    assertThat(changes).containsExactly(new Change("adapters.a.route.v2", "1", "5"));
    assertThat(DeclarationDiff.between(set(), set(adapter("b", 1))))
        .contains(new Change("adapters.b.model", null, "base"));
    assertThat(DeclarationDiff.between(set(adapter("b", 1)), set()))
        .contains(new Change("adapters.b.versions", "[v1, v2]", null));
  }

  // Guards against conflicts that list fields which only one side changed.
  @Test
  void conflictListsFieldsChangedInBoth() {
    DeclarationSet base = set(adapter("a", 1), adapter("b", 1));
    DeclarationSet ownChange = set(adapter("a", 2), adapter("b", 9));
    DeclarationSet otherChange = set(adapter("a", 3), adapter("b", 1));
    assertThat(DeclarationDiff.changedInBoth(base, ownChange, otherChange))
        .containsExactly("adapters.a.route.v2");
    assertThat(
            DeclarationDiff.changedInBoth(
                base, set(adapter("a", 1)), set(adapter("a", 1), adapter("b", 4))))
        .containsExactly("adapters.b.route.v2");
  }

  // Guards against a prefix that matches part of a segment, and against choosing the shorter of two
  // matching prefixes.
  @Test
  void servicePathsMatchWholeSegmentsLongestFirst() {
    ServicePaths paths =
        new ServicePaths(
            List.of(
                new PlainService("root", "/", true, null, null),
                new PlainService("orders", "/orders", true, null, null),
                new PlainService("bulk", "/orders/bulk/", true, null, null)));
    assertThat(paths.find("/orders").orElseThrow().name()).isEqualTo("orders");
    assertThat(paths.find("/orders/7").orElseThrow().name()).isEqualTo("orders");
    assertThat(paths.find("/orders/bulk").orElseThrow().name()).isEqualTo("bulk");
    assertThat(paths.find("/orders/bulk/7").orElseThrow().name()).isEqualTo("bulk");
    assertThat(paths.find("/orders-old").orElseThrow().name()).isEqualTo("root");
  }
}
