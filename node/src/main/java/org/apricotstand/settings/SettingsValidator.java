package org.apricotstand.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.net.InetAddresses;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apricotstand.declaration.Addresses;
import org.apricotstand.declaration.ValidationError;
import org.apricotstand.placement.PlacementPolicy;
import org.apricotstand.settings.InstanceSettings.CallerLimits;
import org.apricotstand.settings.InstanceSettings.Peer;

/** Reads the settings of one instance from a YAML document and checks their values. */
final class SettingsValidator {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MIN_TOKEN_LENGTH = 16;

  private final YamlDocument document;
  private final List<ValidationError> errors = new ArrayList<>();
  // Fields that were removed as invalid; no second error is reported for them.
  private final Set<String> mismatchedPaths = new HashSet<>();

  private SettingsValidator(YamlDocument document) {
    this.document = document;
    errors.addAll(document.errors());
  }

  static ValidationResult<InstanceSettings> read(YamlDocument document) {
    SettingsValidator validator = new SettingsValidator(document);
    if (!validator.errors.isEmpty()) {
      return new ValidationResult.Invalid<>(validator.errors);
    }
    new RecordSchemaValidator(validator::reportMismatch)
        .removeInvalidFields(document.root(), InstanceSettings.class, "");
    try {
      InstanceSettings settings = JSON.treeToValue(document.root(), InstanceSettings.class);
      validator.check(settings);
      return validator.errors.isEmpty()
          ? new ValidationResult.Valid<>(settings)
          : new ValidationResult.Invalid<>(validator.errors);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(
          "the tree does not match the record although invalid fields were removed", e);
    }
  }

  private void reportMismatch(String path, String expected) {
    mismatchedPaths.add(path);
    errors.add(new ValidationError(document.file(), document.lineAt(path), path, expected));
  }

  private void require(boolean condition, String path, String expected) {
    if (!condition && !mismatchedPaths.contains(path)) {
      errors.add(new ValidationError(document.file(), document.lineAt(path), path, expected));
    }
  }

  private void check(InstanceSettings settings) {
    requireName("instance", settings.instance());
    requireName("domain", settings.domain());
    requireAddress("callerAddress", settings.callerAddress());
    requireAddress("peerAddress", settings.peerAddress());
    requireAddress("operatorAddress", settings.operatorAddress());
    require(
        !"0.0.0.0".equals(hostOf(settings.peerAddress())),
        "peerAddress",
        "expected the IP address that peers connect to, not the wildcard");
    checkToken(settings);
    require(
        isHttpUrl(settings.platformUrl()),
        "platformUrl",
        "expected a URL such as http://10.0.0.2:9100, got " + settings.platformUrl());
    require(
        PlacementPolicy.NAMES.contains(settings.policy()),
        "policy",
        "expected one of " + PlacementPolicy.NAMES + ", got " + settings.policy());
    checkPeers(settings);
    require(
        settings.traceSampledFraction() >= 0 && settings.traceSampledFraction() <= 1,
        "traceSampledFraction",
        "expected 0 to 1");
    checkLimits(settings.callerLimits());
  }

  private void checkToken(InstanceSettings settings) {
    String token = settings.operatorToken();
    boolean loopback =
        !Addresses.isValid(settings.operatorAddress(), 0)
            || Addresses.isLoopback(settings.operatorAddress());
    require(
        loopback || token != null,
        "operatorToken",
        "expected a token, since operatorAddress is not a loopback address");
    require(
        token == null || token.length() >= MIN_TOKEN_LENGTH,
        "operatorToken",
        "expected at least " + MIN_TOKEN_LENGTH + " characters");
  }

  private void checkPeers(InstanceSettings settings) {
    Set<String> names = new HashSet<>();
    for (int i = 0; i < settings.peers().size(); i++) {
      Peer peer = settings.peers().get(i);
      String path = "peers[" + i + "]";
      requireName(path + ".instance", peer.instance());
      requireName(path + ".domain", peer.domain());
      requireAddress(path + ".address", peer.address());
      require(
          peer.instance() == null || names.add(peer.instance()),
          path + ".instance",
          "duplicate instance " + peer.instance());
      require(
          peer.instance() == null || !peer.instance().equals(settings.instance()),
          path + ".instance",
          "expected other instances only");
    }
  }

  private void checkLimits(CallerLimits limits) {
    requireAtLeast("callerLimits.maxHeaderBytes", limits.maxHeaderBytes(), 1_024);
    requireAtLeast("callerLimits.maxBodyBytes", limits.maxBodyBytes(), 1_024);
    requireAtLeast("callerLimits.maxAnswerBytes", limits.maxAnswerBytes(), 1_024);
    requireAtLeast("callerLimits.maxConnections", limits.maxConnections(), 1);
    requireAtLeast("callerLimits.idleTimeMs", limits.idleTimeMs(), 1);
    requireAtLeast("callerLimits.requestTimeMs", limits.requestTimeMs(), 1);
    requireAtLeast("callerLimits.maxHeldBytes", limits.maxHeldBytes(), 1_024);
  }

  private void requireName(String path, String name) {
    require(name != null && !name.isBlank(), path, "expected a name");
  }

  private void requireAddress(String path, String address) {
    require(Addresses.isValid(address, 0), path, Addresses.EXPECTED_FORMAT + ", got " + address);
  }

  private void requireAtLeast(String path, long value, long minimum) {
    require(value >= minimum, path, "expected " + minimum + " or more, got " + value);
  }

  private static String hostOf(String address) {
    return address == null || address.lastIndexOf(':') < 0
        ? ""
        : address.substring(0, address.lastIndexOf(':'));
  }

  private static boolean isHttpUrl(String url) {
    if (url == null || url.endsWith("/")) {
      return false;
    }
    try {
      URI uri = new URI(url);
      return "http".equals(uri.getScheme())
          && uri.getHost() != null
          && InetAddresses.isUriInetAddress(uri.getHost());
    } catch (URISyntaxException e) {
      return false;
    }
  }
}
