package org.flamingopitch.scheduler.route;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.limit.RetryBudget;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.node.NodeContext;

/**
 * Passes calls on to owners and matches the answers by correlation id and process. Each try has an id of its own, so
 * that a late or doubled answer of an earlier try is dropped.
 *
 * @param <A> the type of the answers
 */
public final class CallRouter<A> {

    private static final double RETRIES_PER_REQUEST = 0.2;

    private static final double RETRY_BURST = 200;

    private final NodeContext context;

    private final Duration retryDelay;

    private final RetryBudget budget = new RetryBudget(RETRIES_PER_REQUEST, RETRY_BURST);

    private final Map<Long, RoutedCall<A>> byAttempt = new HashMap<>();

    private long lastAttempt;

    private int open;

    /**
     * Creates a router.
     *
     * @param context the core
     * @param retryDelay the time before a call that found no owner is tried again
     */
    public CallRouter(NodeContext context, Duration retryDelay) {
        this.context = context;
        this.retryDelay = retryDelay;
    }

    /**
     * Starts a call.
     *
     * @param spec the call
     * @param deadline when its caller stops waiting
     * @param reply receives the answer exactly once
     * @return gives the call up; the caller is answered as at the deadline
     */
    public Runnable run(CallSpec<A> spec, Instant deadline, Consumer<A> reply) {
        RoutedCall<A> call = new RoutedCall<>(spec, deadline, reply);
        open++;
        budget.recordRequest();
        context.schedule(Duration.between(context.now(), deadline), () -> giveUp(call));
        attempt(call);
        return () -> giveUp(call);
    }

    /**
     * Applies the answer of another process.
     *
     * @param from the process
     * @param id the correlation id
     * @param answer the answer
     */
    public void applyAnswer(ProcessId from, long id, A answer) {
        RoutedCall<A> call = byAttempt.get(id);
        if (call == null || !from.equals(call.peer())) {
            return;
        }
        byAttempt.remove(id);
        applyAnswer(call, answer);
    }

    /**
     * Judges the calls under way to a process that was lost.
     *
     * @param peer the process
     */
    public void peerLost(ProcessId peer) {
        List<RoutedCall<A>> affected = byAttempt.values().stream()
                .filter(call -> peer.equals(call.peer()))
                .sorted((left, right) -> Long.compare(left.attempt(), right.attempt()))
                .toList();
        affected.forEach(this::applyConnectionLost);
    }

    /**
     * Tells whether any call waits for its answer.
     *
     * @return whether none does
     */
    public boolean idle() {
        return open == 0;
    }

    private void attempt(RoutedCall<A> call) {
        if (call.finished()) {
            return;
        }
        Optional<Route> route = call.spec().route(call.avoided());
        if (route.isEmpty()) {
            call.avoided().clear();
            context.schedule(retryDelay, () -> attempt(call));
            return;
        }
        lastAttempt++;
        long id = lastAttempt;
        call.begin(id, route.get());
        Duration remaining = Duration.between(context.now(), call.deadline());
        if (route.get().owner().equals(context.self())) {
            callLocally(call, id, remaining);
            return;
        }
        byAttempt.put(id, call);
        context.send(route.get().owner(), call.spec().message(id, route.get().partition(), remaining));
    }

    private void callLocally(RoutedCall<A> call, long id, Duration remaining) {
        Runnable cancel = call.spec().local(call.partition(), remaining, answer -> {
            if (call.attempt() == id) {
                applyAnswer(call, answer);
            }
        });
        if (call.attempt() == id) {
            call.cancelLocalWith(cancel);
        }
    }

    private void applyAnswer(RoutedCall<A> call, A answer) {
        Verdict verdict = call.spec().verdict(answer);
        if (verdict == Verdict.FINAL) {
            boolean claimVoid = call.earlierTryInDoubt() && call.spec().claimsNotRun(answer);
            finish(call, claimVoid ? call.spec().timedOut(true) : answer);
            return;
        }
        boolean inDoubt = verdict == Verdict.RETRY_IN_DOUBT;
        if (inDoubt && !budget.tryRetry()) {
            finish(call, answer);
            return;
        }
        call.endAttempt(inDoubt);
        call.avoided().add(call.partition());
        context.schedule(Duration.ZERO, () -> attempt(call));
    }

    private void applyConnectionLost(RoutedCall<A> call) {
        byAttempt.remove(call.attempt());
        Optional<A> answer = call.spec().connectionLost();
        if (answer.isPresent()) {
            finish(call, answer.get());
            return;
        }
        call.endAttempt(true);
        context.schedule(retryDelay, () -> attempt(call));
    }

    private void giveUp(RoutedCall<A> call) {
        if (call.finished()) {
            return;
        }
        boolean mayHaveRun = call.mayHaveRun();
        if (byAttempt.remove(call.attempt()) != null) {
            context.send(call.peer(), new PeerMessage.Cancel(call.attempt()));
        }
        A answer = call.spec().timedOut(mayHaveRun);
        finish(call, answer);
        call.cancelLocal();
    }

    private void finish(RoutedCall<A> call, A answer) {
        if (call.finished()) {
            return;
        }
        open--;
        call.finish(answer);
    }
}
