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
 * Sends calls to partition owners, retries them where that is safe, and matches answers by correlation id and process.
 * Each attempt has its own id, so that a late or duplicate answer to an earlier attempt is dropped.
 *
 * @param <A> the type of the answers
 */
public final class CallRouter<A> {

    private static final double RETRIES_PER_REQUEST = 0.2;

    private static final double MAX_SAVED_RETRIES = 200;

    private final NodeContext context;

    private final Duration retryDelay;

    private final RetryBudget budget = new RetryBudget(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES);

    private final Map<Long, RoutedCall<A>> callsByAttempt = new HashMap<>();

    private long lastAttemptId;

    private int openCalls;

    /**
     * Creates a router.
     *
     * @param context the clock and timers, and the connection to other processes
     * @param retryDelay the delay before a call is retried that found no owner or lost its connection
     */
    public CallRouter(NodeContext context, Duration retryDelay) {
        this.context = context;
        this.retryDelay = retryDelay;
    }

    /**
     * Starts a call.
     *
     * @param spec the call
     * @param deadline the time at which the caller stops waiting
     * @param reply receives the answer exactly once
     * @return an action that ends the call early, with the same answer as at the deadline
     */
    public Runnable startCall(CallSpec<A> spec, Instant deadline, Consumer<A> reply) {
        RoutedCall<A> call = new RoutedCall<>(spec, deadline, reply);
        openCalls++;
        budget.recordRequest();
        context.schedule(Duration.between(context.now(), deadline), () -> abandon(call));
        startAttempt(call);
        return () -> abandon(call);
    }

    /**
     * Applies an answer that arrived from another process.
     *
     * @param from the process
     * @param id the correlation id
     * @param answer the answer
     */
    public void applyAnswer(ProcessId from, long id, A answer) {
        RoutedCall<A> call = callsByAttempt.get(id);
        if (call == null || !from.equals(call.peer())) {
            return;
        }
        callsByAttempt.remove(id);
        applyAnswer(call, answer);
    }

    /**
     * Answers or retries the open calls to a process whose connection was lost.
     *
     * @param peer the process
     */
    public void handlePeerLost(ProcessId peer) {
        List<RoutedCall<A>> affected = callsByAttempt.values().stream()
                .filter(call -> peer.equals(call.peer()))
                .sorted((left, right) -> Long.compare(left.attempt(), right.attempt()))
                .toList();
        affected.forEach(this::handleConnectionLost);
    }

    /**
     * Returns whether all calls have been answered.
     *
     * @return whether no call is open
     */
    public boolean idle() {
        return openCalls == 0;
    }

    private void startAttempt(RoutedCall<A> call) {
        if (call.finished()) {
            return;
        }
        Optional<Route> route = call.spec().chooseRoute(call.avoided());
        if (route.isEmpty()) {
            call.avoided().clear();
            context.schedule(retryDelay, () -> startAttempt(call));
            return;
        }
        lastAttemptId++;
        long id = lastAttemptId;
        call.startAttempt(id, route.get());
        Duration remaining = Duration.between(context.now(), call.deadline());
        if (route.get().owner().equals(context.self())) {
            callLocally(call, id, remaining);
            return;
        }
        callsByAttempt.put(id, call);
        context.send(
                route.get().owner(), call.spec().createMessage(id, route.get().partition(), remaining));
    }

    private void callLocally(RoutedCall<A> call, long id, Duration remaining) {
        Runnable cancel = call.spec().callLocally(call.partition(), remaining, answer -> {
            if (call.attempt() == id) {
                applyAnswer(call, answer);
            }
        });
        if (call.attempt() == id) {
            call.setLocalCancellation(cancel);
        }
    }

    private void applyAnswer(RoutedCall<A> call, A answer) {
        RetryDecision decision = call.spec().decideRetry(answer);
        if (decision == RetryDecision.FINAL) {
            boolean notRunUnproven =
                    call.earlierAttemptOutcomeUnknown() && call.spec().statesNotRun(answer);
            finish(call, notRunUnproven ? call.spec().answerOnTimeout(true) : answer);
            return;
        }
        boolean outcomeUnknown = decision == RetryDecision.RETRY_OUTCOME_UNKNOWN;
        if (outcomeUnknown && !budget.tryRetry()) {
            finish(call, answer);
            return;
        }
        call.endAttempt(outcomeUnknown);
        call.avoided().add(call.partition());
        context.schedule(Duration.ZERO, () -> startAttempt(call));
    }

    private void handleConnectionLost(RoutedCall<A> call) {
        callsByAttempt.remove(call.attempt());
        Optional<A> answer = call.spec().answerOnConnectionLost();
        if (answer.isPresent()) {
            finish(call, answer.get());
            return;
        }
        call.endAttempt(true);
        context.schedule(retryDelay, () -> startAttempt(call));
    }

    private void abandon(RoutedCall<A> call) {
        if (call.finished()) {
            return;
        }
        boolean mayHaveRun = call.mayHaveRun();
        if (callsByAttempt.remove(call.attempt()) != null) {
            context.send(call.peer(), new PeerMessage.Cancel(call.attempt()));
        }
        A answer = call.spec().answerOnTimeout(mayHaveRun);
        finish(call, answer);
        call.cancelLocal();
    }

    private void finish(RoutedCall<A> call, A answer) {
        if (call.finished()) {
            return;
        }
        openCalls--;
        call.finish(answer);
    }
}
