package marlford.fleet;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import marlford.task.TaskRun;
import org.junit.jupiter.api.Test;

class TaskDispatcherTest {
    private static final long PATIENCE_S = 30;
    private static final TaskRun ACT = new TaskRun("one", -1, -1, 7, 20);

    /** Its holder would keep the lease and never act again. */
    @Test
    void anActThatTheClientNeverEndsIsOverAllTheSame() throws Exception {
        CompletableFuture<Object> never = new CompletableFuture<>();
        assertNull(new TaskDispatcher(request -> never)
                .post(URI.create("http://127.0.0.1:1/act"), ACT, "g0")
                .get(PATIENCE_S, TimeUnit.SECONDS));
        assertTrue(never.isCancelled());
    }

    /** A resource that can't be reached is no failure of the holder. */
    @Test
    void anActThatFailsIsOver() throws Exception {
        assertNull(new TaskDispatcher()
                .post(URI.create("http://127.0.0.1:1/act"), ACT, "g0")
                .get(PATIENCE_S, TimeUnit.SECONDS));
    }
}
