package marlford.fleet;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import marlford.task.TaskRun;

/**
 * Sends task runs to their resources by HTTP. Every run completes within its timeout plus {@link #LATE_MS}, even if
 * the HTTP client never completes it: otherwise the holder would keep its lease without ever acting again. May be
 * used from any thread.
 */
final class TaskDispatcher {
    /** Beyond an act's time, in which the client's own limit is to end it: some turns of its threads. */
    static final long LATE_MS = 100;

    private final Function<HttpRequest, CompletableFuture<?>> sender;

    TaskDispatcher() {
        HttpClient http =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        this.sender = request -> http.sendAsync(request, HttpResponse.BodyHandlers.discarding());
    }

    /** With another way to send. */
    TaskDispatcher(Function<HttpRequest, CompletableFuture<?>> sender) {
        this.sender = sender;
    }

    /** Begins an act; the result completes, never with a failure, once it is over. From any thread. */
    CompletableFuture<Void> post(URI at, TaskRun act, String holder) {
        long takesMs = (long) Math.max(1, act.takesMs());
        HttpRequest request = HttpRequest.newBuilder(at)
                .timeout(Duration.ofMillis(takesMs))
                .header("Fencing-Token", Long.toString(act.token()))
                .header("Holder", holder)
                .header("Task", act.task())
                .header("Shard", Integer.toString(act.shard()))
                .header("Tick", Long.toString(act.tick()))
                .POST(HttpRequest.BodyPublishers.noBody())
                .build();
        CompletableFuture<Void> over = new CompletableFuture<>();
        CompletableFuture<?> sent = sender.apply(request);
        sent.whenComplete((answer, e) -> over.complete(null));
        return over.completeOnTimeout(null, takesMs + LATE_MS, TimeUnit.MILLISECONDS)
                .whenComplete((done, e) -> sent.cancel(true));
    }
}
