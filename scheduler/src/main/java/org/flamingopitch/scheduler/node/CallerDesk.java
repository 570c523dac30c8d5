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

/** Takes the requests of callers and operators, and answers each exactly once. */
final class CallerDesk {

    private static final String STEP = "entry.admit";

    private final EffectContext context;

    private final NodeSettings settings;

    private final Coordination coordination;

    private final OwnerCalls calls;

    private final CallRouter<Outcome> requests;

    private final CallRouter<JobAnswer> jobs;

    private final Supplier<NodeStatus> status;

    private final Map<Long, Runnable> open = new HashMap<>();

    private boolean draining;

    CallerDesk(
            EffectContext context,
            NodeSettings settings,
            Coordination coordination,
            OwnerCalls calls,
            CallRouter<Outcome> requests,
            CallRouter<JobAnswer> jobs,
            Supplier<NodeStatus> status) {
        this.context = context;
        this.settings = settings;
        this.coordination = coordination;
        this.calls = calls;
        this.requests = requests;
        this.jobs = jobs;
        this.status = status;
    }

    void drain() {
        draining = true;
    }

    boolean draining() {
        return draining;
    }

    boolean idle() {
        return open.isEmpty();
    }

    void asked(long caller, CallerRequest request) {
        open.put(caller, () -> {});
        if (request instanceof CallerRequest.Run run) {
            run(caller, run);
        } else if (request instanceof CallerRequest.Job job) {
            job(caller, job.command());
        } else if (request instanceof CallerRequest.MintKey) {
            answer(caller, new CallerAnswer.KeyMinted(mintKey()));
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

    void left(long caller) {
        Runnable cancel = open.get(caller);
        if (cancel != null) {
            cancel.run();
        }
    }

    private IdempotencyKey mintKey() {
        return IdempotencyKey.issue(context.now(), context.random().nextLong());
    }

    private void run(long caller, CallerRequest.Run run) {
        Optional<KindRule> rule = rule(run.kind());
        Optional<Reason> refusal = refusal(rule);
        if (refusal.isPresent()) {
            Outcome outcome = Outcome.notRun(refusal.get(), STEP, context.self().value());
            answer(caller, new CallerAnswer.RunAnswer(outcome));
            return;
        }
        Instant deadline = context.now().plus(rule.get().deadline());
        Runnable cancel = requests.run(
                requestSpec(run, rule.get()), deadline, outcome -> answer(caller, new CallerAnswer.RunAnswer(outcome)));
        open.computeIfPresent(caller, (id, nothing) -> cancel);
    }

    private CallSpec<Outcome> requestSpec(CallerRequest.Run run, KindRule rule) {
        if (rule.repeatability().mayRunAgain()) {
            return calls.request(rule, run.payload());
        }
        IdempotencyKey key = run.key() == null ? mintKey() : run.key();
        return calls.requestOnce(key, rule, run.payload());
    }

    private Optional<KindRule> rule(KindName kind) {
        return Optional.ofNullable(coordination.config().current()).flatMap(current -> current.kind(kind));
    }

    private Optional<Reason> refusal(Optional<KindRule> rule) {
        if (draining) {
            return Optional.of(Reason.DRAINING);
        }
        if (rule.isEmpty()) {
            return Optional.of(Reason.NOT_CONFIGURED);
        }
        boolean deferrable = rule.get().urgency() == Urgency.DEFERRABLE;
        return deferrable ? Optional.of(Reason.DEFERRABLE_KIND) : Optional.empty();
    }

    private void job(long caller, JobCommand command) {
        Optional<Reason> refusal = jobRefusal(command);
        if (refusal.isPresent()) {
            Failure failure =
                    new Failure(STEP, context.self().value(), refusal.get().text());
            answer(caller, new CallerAnswer.JobAnswered(new JobAnswer.Refused(refusal.get(), failure)));
            return;
        }
        Instant deadline = context.now().plus(settings.jobDeadline());
        Runnable cancel =
                jobs.run(calls.job(command), deadline, answer -> answer(caller, new CallerAnswer.JobAnswered(answer)));
        open.computeIfPresent(caller, (id, nothing) -> cancel);
    }

    private Optional<Reason> jobRefusal(JobCommand command) {
        if (draining) {
            return Optional.of(Reason.DRAINING);
        }
        if (!(command instanceof JobCommand.Submit submit)) {
            return Optional.empty();
        }
        Optional<KindRule> rule = rule(submit.kind());
        boolean submittable = rule.isPresent() && rule.get().urgency() == Urgency.DEFERRABLE;
        return submittable ? Optional.empty() : Optional.of(Reason.NOT_CONFIGURED);
    }

    private void answer(long caller, CallerAnswer answer) {
        if (open.remove(caller) != null) {
            context.emit(new NodeEffect.AnswerCaller(caller, answer));
        }
    }
}
