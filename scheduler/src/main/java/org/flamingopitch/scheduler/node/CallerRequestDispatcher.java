package org.flamingopitch.scheduler.node;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.message.JobAnswer;
import org.flamingopitch.scheduler.message.JobCommand;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.KindRule;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Reason;
import org.flamingopitch.scheduler.model.Urgency;
import org.flamingopitch.scheduler.route.CallRouter;
import org.flamingopitch.scheduler.route.CallSpec;

/** Validates the requests of callers and operators, dispatches them, and answers each exactly once. */
final class CallerRequestDispatcher {

    private static final String STEP = "entry.admit";

    private final EffectContext context;

    private final NodeSettings settings;

    private final CoordinationServices coordination;

    private final CallSpecFactory callSpecs;

    private final CallRouter<Outcome> requestRouter;

    private final CallRouter<JobAnswer> jobRouter;

    private final Supplier<NodeStatus> status;

    /** The actions that cancel the unanswered requests, by call number. */
    private final Map<Long, Runnable> cancellations = new HashMap<>();

    private boolean draining;

    CallerRequestDispatcher(
            EffectContext context,
            NodeSettings settings,
            CoordinationServices coordination,
            CallSpecFactory callSpecs,
            CallRouter<Outcome> requestRouter,
            CallRouter<JobAnswer> jobRouter,
            Supplier<NodeStatus> status) {
        this.context = context;
        this.settings = settings;
        this.coordination = coordination;
        this.callSpecs = callSpecs;
        this.requestRouter = requestRouter;
        this.jobRouter = jobRouter;
        this.status = status;
    }

    void drain() {
        draining = true;
    }

    boolean draining() {
        return draining;
    }

    boolean hasNoOpenRequests() {
        return cancellations.isEmpty();
    }

    void handle(long caller, CallerRequest request) {
        cancellations.put(caller, () -> {});
        if (request instanceof CallerRequest.Run run) {
            executeRequest(caller, run);
        } else if (request instanceof CallerRequest.Job job) {
            executeJobCommand(caller, job.command());
        } else if (request instanceof CallerRequest.MintKey) {
            answer(caller, new CallerAnswer.KeyMinted(issueKey()));
        } else if (request instanceof CallerRequest.ProposeConfig propose) {
            coordination
                    .config()
                    .propose(
                            propose.document(),
                            propose.expectedVersion(),
                            propose.who(),
                            outcome -> answer(caller, new CallerAnswer.ConfigAnswered(outcome)));
        } else if (request instanceof CallerRequest.ShowConfig) {
            answer(caller, new CallerAnswer.ConfigShown(coordination.config().envelope()));
        } else if (request instanceof CallerRequest.ShowStatus) {
            answer(caller, new CallerAnswer.StatusShown(status.get()));
        }
    }

    void handleDisconnect(long caller) {
        Runnable cancel = cancellations.get(caller);
        if (cancel != null) {
            cancel.run();
        }
    }

    private IdempotencyKey issueKey() {
        return IdempotencyKey.issue(context.now(), context.random().nextLong());
    }

    private void executeRequest(long caller, CallerRequest.Run run) {
        Optional<KindRule> rule = findRule(run.kind());
        Optional<Reason> refusal = refusalReason(rule);
        if (refusal.isPresent()) {
            Outcome outcome = Outcome.notRun(refusal.get(), STEP, context.self().value());
            answer(caller, new CallerAnswer.RunAnswer(outcome));
            return;
        }
        Instant deadline = context.now().plus(rule.get().deadline());
        Runnable cancel = requestRouter.startCall(
                requestSpec(run, rule.get()), deadline, outcome -> answer(caller, new CallerAnswer.RunAnswer(outcome)));
        cancellations.computeIfPresent(caller, (id, previous) -> cancel);
    }

    private CallSpec<Outcome> requestSpec(CallerRequest.Run run, KindRule rule) {
        if (rule.repeatability().mayRunAgain()) {
            return callSpecs.forRequest(rule, run.payload());
        }
        IdempotencyKey key = run.key() == null ? issueKey() : run.key();
        return callSpecs.forAtMostOnceRequest(key, rule, run.payload());
    }

    private Optional<KindRule> findRule(KindName kind) {
        return Optional.ofNullable(coordination.config().current()).flatMap(current -> current.kind(kind));
    }

    private Optional<Reason> refusalReason(Optional<KindRule> rule) {
        if (draining) {
            return Optional.of(Reason.DRAINING);
        }
        if (rule.isEmpty()) {
            return Optional.of(Reason.NOT_CONFIGURED);
        }
        boolean deferrable = rule.get().urgency() == Urgency.DEFERRABLE;
        return deferrable ? Optional.of(Reason.DEFERRABLE_KIND) : Optional.empty();
    }

    private void executeJobCommand(long caller, JobCommand command) {
        Optional<Reason> refusal = jobRefusalReason(command);
        if (refusal.isPresent()) {
            Failure failure =
                    new Failure(STEP, context.self().value(), refusal.get().text());
            answer(caller, new CallerAnswer.JobAnswered(new JobAnswer.Refused(refusal.get(), failure)));
            return;
        }
        Instant deadline = context.now().plus(settings.jobCommandTimeout());
        Runnable cancel = jobRouter.startCall(
                callSpecs.forJobCommand(command),
                deadline,
                answer -> answer(caller, new CallerAnswer.JobAnswered(answer)));
        cancellations.computeIfPresent(caller, (id, previous) -> cancel);
    }

    private Optional<Reason> jobRefusalReason(JobCommand command) {
        if (draining) {
            return Optional.of(Reason.DRAINING);
        }
        if (!(command instanceof JobCommand.Submit submit)) {
            return Optional.empty();
        }
        Optional<KindRule> rule = findRule(submit.kind());
        boolean submittable = rule.isPresent() && rule.get().urgency() == Urgency.DEFERRABLE;
        return submittable ? Optional.empty() : Optional.of(Reason.NOT_CONFIGURED);
    }

    private void answer(long caller, CallerAnswer answer) {
        if (cancellations.remove(caller) != null) {
            context.emit(new NodeEffect.AnswerCaller(caller, answer));
        }
    }
}
