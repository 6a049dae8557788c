package org.apricotstand.ownership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apricotstand.lease.LeaseRow;
import org.apricotstand.lease.OwnerRow;
import org.apricotstand.lease.Versioned;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;
import org.apricotstand.platform.TableService.Row;

/** Converts rows of the tables {@code leases} and {@code owners} to and from JSON. */
final class RowCodec {

  static final String LEASES = "leases";
  static final String OWNERS = "owners";

  private RowCodec() {}

  static JsonNode encode(LeaseRow row) {
    return object()
        .put("holder", row.holder().value())
        .put("incarnation", row.incarnation())
        .put("term", row.term())
        .put("nonce", row.nonce())
        .put("state", row.state().name());
  }

  static Versioned<LeaseRow> decodeLease(Optional<Row> stored) {
    return stored
        .map(row -> new Versioned<>(row.version(), decodeLease(row.value())))
        .orElse(new Versioned<>(0, null));
  }

  private static LeaseRow decodeLease(JsonNode value) {
    return new LeaseRow(
        new InstanceId(value.path("holder").asText()),
        value.path("incarnation").asLong(),
        value.path("term").asLong(),
        value.path("nonce").asLong(),
        LeaseRow.LeaseState.valueOf(value.path("state").asText()));
  }

  static JsonNode encode(OwnerRow row) {
    ObjectNode value =
        object()
            .put("target", row.target().value())
            .put("owner", row.owner().value())
            .put("incarnation", row.incarnation())
            .put("term", row.term())
            .put("fencing", row.fencing())
            .put("nonce", row.nonce());
    ArrayNode candidates = value.putArray("candidates");
    row.candidates().forEach(candidate -> candidates.add(candidate.value()));
    ArrayNode formerOwners = value.putArray("formers");
    row.formerOwners()
        .forEach(
            formerOwner ->
                formerOwners
                    .addObject()
                    .put("instance", formerOwner.instance().value())
                    .put("incarnation", formerOwner.incarnation())
                    .put("fencing", formerOwner.fencing()));
    return value;
  }

  static Versioned<OwnerRow> decodeOwner(Optional<Row> stored) {
    return stored
        .map(row -> new Versioned<>(row.version(), decodeOwner(row.value())))
        .orElse(new Versioned<>(0, null));
  }

  private static OwnerRow decodeOwner(JsonNode value) {
    List<InstanceId> candidates = new ArrayList<>();
    value.path("candidates").forEach(name -> candidates.add(new InstanceId(name.asText())));
    List<OwnerRow.FormerOwner> formerOwners = new ArrayList<>();
    value
        .path("formers")
        .forEach(
            formerOwner ->
                formerOwners.add(
                    new OwnerRow.FormerOwner(
                        new InstanceId(formerOwner.path("instance").asText()),
                        formerOwner.path("incarnation").asLong(),
                        formerOwner.path("fencing").asLong())));
    return new OwnerRow(
        new TargetId(value.path("target").asText()),
        new InstanceId(value.path("owner").asText()),
        value.path("incarnation").asLong(),
        value.path("term").asLong(),
        value.path("fencing").asLong(),
        value.path("nonce").asLong(),
        candidates,
        formerOwners);
  }

  private static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }
}
