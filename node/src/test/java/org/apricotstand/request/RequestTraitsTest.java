package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import org.apricotstand.front.CallerRequest;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.suspect.Trait;
import org.junit.jupiter.api.Test;

class RequestTraitsTest {

  private static Trait whole(
      HttpMethod method, String uri, HttpHeaders headers, String body, String caller) {
    CallerRequest request =
        new CallerRequest(
            method,
            uri,
            headers,
            body.getBytes(StandardCharsets.UTF_8),
            true,
            caller,
            body.length());
    return new RequestTraits(request, null, null).wholeRequest();
  }

  private static HttpHeaders host(String host) {
    return new DefaultHttpHeaders().set("Host", host);
  }

  private static Trait fromHost(String host) {
    return whole(HttpMethod.GET, "/p", host(host), "", "10.0.0.1");
  }

  // Guards against a harmful request that counts as another one each time it comes, because its
  // identity has something that changes with the caller, the connection or the attempt.
  @Test
  void aRequestIsTheSameFromEachCallerAndConnection() {
    Trait first = whole(HttpMethod.POST, "/p?q", host("h"), "b", "10.0.0.1");
    HttpHeaders others = new DefaultHttpHeaders().set("X-Id", "q2").set("X-Deadline", "7");
    others.set("host", "h").set("X-Forwarded-For", "10.0.0.2");
    assertThat(whole(HttpMethod.POST, "/p?q", others, "b", "10.0.0.2")).isEqualTo(first);
  }

  // Guards against a harmful request that counts as another one for each way to write the host that
  // leads to the same route.
  @Test
  void theHostIsTheOneByWhichRequestsAreRouted() {
    assertThat(fromHost("H.example")).isEqualTo(fromHost("h.example"));
    assertThat(fromHost("h.example:80")).isEqualTo(fromHost("h.example"));
    assertThat(fromHost("h.example:8080")).isEqualTo(fromHost("h.example"));
    assertThat(fromHost("g.example")).isNotEqualTo(fromHost("h.example"));
  }

  // Guards against refusing sound requests because another one that differs in what the target sees
  // crashes targets.
  @Test
  void requestsThatDifferForTheTargetAreNotTheSame() {
    Trait first = whole(HttpMethod.POST, "/p?q", host("h"), "b", "10.0.0.1");
    assertThat(whole(HttpMethod.PUT, "/p?q", host("h"), "b", "10.0.0.1")).isNotEqualTo(first);
    assertThat(whole(HttpMethod.POST, "/p?r", host("h"), "b", "10.0.0.1")).isNotEqualTo(first);
    assertThat(whole(HttpMethod.POST, "/p?q", host("h"), "c", "10.0.0.1")).isNotEqualTo(first);
    CallerRequest request =
        new CallerRequest(
            HttpMethod.POST, "/p?q", host("h"), new byte[] {'b'}, true, "10.0.0.1", 0);
    AdapterKey adapter = new AdapterKey("m", "a1");
    assertThat(new RequestTraits(request, adapter, null).wholeRequest()).isNotEqualTo(first);
  }
}
