import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** A client of the system. */
final class Client {

    static final String HOST = "nony24.example";

    static final String PREFIX = "/lohu930/";

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final Record record;

    Client(Record record) {
        this.record = record;
    }

    /** Sends a request and returns the status and the body, or status 0 if no answer came. */
    Answer call(Host host, String method, String id, String body) {
        return call(host, PREFIX, method, id, body);
    }

    Answer call(Host host, String prefix, String method, String id, String body) {
        HttpRequest.BodyPublisher publisher =
                body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + host.ip + ":" + host.front + prefix + id))
                .header("Host", HOST)
                .header("Content-Type", "application/json")
                .header("X-Flamingopitch-Deadline-Ms", "3000")
                .timeout(Duration.ofMillis(3_000))
                .method(method, publisher)
                .build();
        Answer answer;
        try {
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            answer = new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            answer = new Answer(0, e.toString());
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        record.line("client: %s %s%s at %s -> %d %s", method, prefix, id, host.ip, answer.status, answer.body);
        return answer;
    }

    record Answer(int status, String body) {}
}
