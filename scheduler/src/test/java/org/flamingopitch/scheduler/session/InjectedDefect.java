package org.flamingopitch.scheduler.session;

import java.time.Duration;
import org.flamingopitch.coordination.membership.LeaseTimings;
import org.flamingopitch.scheduler.node.NodeSettings;
import org.flamingopitch.scheduler.node.NodeTimings;

/** Defects that each remove one safeguard, so that the checks must report a violation of one guarantee. */
enum InjectedDefect {
    /** No defect. */
    NONE(Guarantee.PROGRESS, Fault.OPERATOR_RACE),
    /** The guard of a lease ends 30 s after the lease instead of before it. */
    LATE_LEASE_GUARD(Guarantee.CAPACITY, Fault.PROCESS_FROZEN_BEFORE_WRITE) {
        @Override
        NodeSettings apply(NodeSettings defaults) {
            LeaseTimings lease = defaults.lease();
            LeaseTimings late = new LeaseTimings(
                    lease.timeToLive(),
                    lease.renewInterval(),
                    Duration.ofSeconds(-30),
                    lease.promiseDuration(),
                    lease.outageBound());
            return copyWith(defaults, late, defaults.timings(), defaults.minDrainDuration());
        }
    },
    /** Tasks count as lapsed before their leases end: the allowance for clock skew is negative. */
    EARLY_TASK_LAPSE(Guarantee.EXCLUSIVE, Fault.WORKER_SILENT) {
        @Override
        NodeSettings apply(NodeSettings defaults) {
            NodeTimings timings = defaults.timings();
            NodeTimings early = new NodeTimings(
                    timings.maxTransitTime(),
                    Duration.ofSeconds(-9),
                    timings.taskLease(),
                    timings.startLease(),
                    timings.reportInterval(),
                    timings.queryInterval(),
                    timings.loadReportInterval(),
                    timings.routeRetryDelay());
            return copyWith(defaults, defaults.lease(), early, defaults.minDrainDuration());
        }
    },
    /** A shutdown ends before the load balancer has stopped sending requests to the process. */
    NO_DRAIN_LINGER(Guarantee.GRACEFUL, Fault.PROCESS_DRAINED) {
        @Override
        NodeSettings apply(NodeSettings defaults) {
            return copyWith(defaults, defaults.lease(), defaults.timings(), Duration.ZERO);
        }
    },
    /** The key-value service acknowledges journal writes without storing them. */
    JOURNAL_WRITES_DROPPED(Guarantee.AT_MOST_ONCE, Fault.PROCESS_KILLED),
    /** The checkpoint of a stopped task is removed from the worker's answer. */
    CHECKPOINT_DROPPED(Guarantee.RESUME_ONCE, Fault.OPERATOR_RACE),
    /** Callers are told that work was not run although its outcome is unknown. */
    UNKNOWN_REPORTED_AS_NOT_RUN(Guarantee.NOT_RUN, Fault.MESSAGE_LOST),
    /** Lost answers of workers are reported as calls that were not sent, so that work is run again. */
    LOST_ANSWERS_REPORTED_AS_NOT_SENT(Guarantee.AT_MOST_ONCE, Fault.MESSAGE_LOST),
    /** Each request gets the answer that a worker gave to the previous one. */
    ANSWERS_SWAPPED(Guarantee.OWN_ANSWER, Fault.OPERATOR_RACE),
    /** The host list is not delivered to the processes. */
    HOST_LIST_WITHHELD(Guarantee.LEAVING, Fault.HOST_LEAVING),
    /** One process gets no answers to watches and lists of keys, so that it sees no changes. */
    KEY_CHANGES_WITHHELD(Guarantee.CONFIGURATION, Fault.OPERATOR_RACE),
    /** Workers' reports are never answered. */
    WORKER_REPORTS_UNANSWERED(Guarantee.PROGRESS, Fault.OPERATOR_RACE);

    private final Guarantee violatedGuarantee;

    private final Fault revealingFault;

    InjectedDefect(Guarantee violatedGuarantee, Fault revealingFault) {
        this.violatedGuarantee = violatedGuarantee;
        this.revealingFault = revealingFault;
    }

    /** Returns the fault with which the violation must be detected. */
    Fault revealingFault() {
        return revealingFault;
    }

    /** Returns the guarantee whose violation must be detected. */
    Guarantee violatedGuarantee() {
        return violatedGuarantee;
    }

    /** Returns the settings of a process with the defect. */
    NodeSettings apply(NodeSettings defaults) {
        return defaults;
    }

    boolean reportsLostAnswersAsNotSent() {
        return this == LOST_ANSWERS_REPORTED_AS_NOT_SENT;
    }

    static NodeSettings copyWith(NodeSettings defaults, LeaseTimings lease, NodeTimings timings, Duration drainLinger) {
        return new NodeSettings(
                defaults.self(),
                lease,
                timings,
                defaults.journal(),
                defaults.oncePolicy(),
                defaults.jobCommandTimeout(),
                defaults.drainTimeout(),
                drainLinger,
                defaults.seed());
    }
}
