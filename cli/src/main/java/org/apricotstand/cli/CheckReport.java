package org.apricotstand.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apricotstand.declaration.DeclarationDiff;
import org.apricotstand.declaration.DeclarationDiff.Change;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.check.AffectedRequests;
import org.apricotstand.declaration.check.AffectedRequests.Effect;
import org.apricotstand.declaration.check.Finding;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;

/**
 * Result of {@code check}.
 *
 * @param summary what was checked, printed if there are no errors
 * @param findings errors and warnings
 * @param comparison comparison with another set, or why it failed, or empty if none was asked for
 */
record CheckReport(
    String summary, List<Finding> findings, Optional<Result<Comparison>> comparison) {

  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * What differs from another set.
   *
   * @param base the other set, such as {@code revision 41}
   */
  record Comparison(String base, List<Change> changes, List<Effect> requests) {

    static Comparison of(String base, DeclarationSet before, DeclarationSet after) {
      return new Comparison(
          base, DeclarationDiff.between(before, after), AffectedRequests.between(before, after));
    }
  }

  /** Returns the exit code; a failed comparison counts more than warnings. */
  int exitCode() {
    if (hasErrors()) {
      return ExitCodes.INVALID_FILE;
    }
    if (comparison.isPresent() && comparison.get() instanceof Result.Failed<Comparison>) {
      return ExitCodes.FAILED;
    }
    return findings.isEmpty() ? ExitCodes.OK : ExitCodes.WARNINGS;
  }

  private boolean hasErrors() {
    return findings.stream().anyMatch(Finding::isError);
  }

  /** Prints findings to the standard error, and the summary and the comparison to the output. */
  void printText() {
    findings.forEach(System.err::println);
    if (hasErrors()) {
      return;
    }
    System.out.println(summary);
    comparison.ifPresent(CheckReport::printText);
  }

  private static void printText(Result<Comparison> result) {
    switch (result) {
      case Result.Ok<Comparison>(
              Comparison(String base, List<Change> changes, List<Effect> requests)) -> {
        System.out.println("changes from " + base + ": " + changes.size());
        changes.forEach(change -> System.out.println("  " + change));
        System.out.println("affected requests: " + requests.size());
        requests.forEach(effect -> System.out.println("  " + effect));
      }
      case Result.Failed<Comparison>(Failure failure) -> System.err.println("failed: " + failure);
    }
  }

  /** Prints the whole report as one JSON object to the output. */
  void printJson() {
    ObjectNode report = JSON.createObjectNode();
    report.put("result", resultName());
    ArrayNode items = report.putArray("findings");
    findings.forEach(finding -> items.add(toJson(finding)));
    comparison.ifPresent(result -> addComparison(report, result));
    try {
      System.out.println(JSON.writerWithDefaultPrettyPrinter().writeValueAsString(report));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private String resultName() {
    return switch (exitCode()) {
      case ExitCodes.OK -> "clean";
      case ExitCodes.WARNINGS -> "warning";
      case ExitCodes.INVALID_FILE -> "error";
      default -> "failed";
    };
  }

  private static ObjectNode toJson(Finding finding) {
    return JSON.createObjectNode()
        .put("severity", finding.severity().name().toLowerCase(Locale.ROOT))
        .put("rule", finding.rule())
        .put("file", finding.file())
        .put("line", finding.line())
        .put("field", finding.field())
        .put("message", finding.message());
  }

  private static void addComparison(ObjectNode report, Result<Comparison> result) {
    switch (result) {
      case Result.Ok<Comparison>(
              Comparison(String base, List<Change> changes, List<Effect> requests)) -> {
        report.put("against", base);
        report.set("changes", JSON.valueToTree(changes));
        report.set("affectedRequests", JSON.valueToTree(requests));
      }
      case Result.Failed<Comparison>(Failure failure) -> report.put("failure", failure.toString());
    }
  }
}
