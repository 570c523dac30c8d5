package org.flamingopitch.scheduler.session;

import java.time.Duration;
import org.flamingopitch.coordination.membership.LeaseTimings;
import org.flamingopitch.scheduler.node.NodeSettings;
import org.flamingopitch.scheduler.node.NodeTimings;

/** Deliberate breakages: each takes one safeguard away, and one promise must be seen to break. */
enum Sabotage {
    /** Nothing is broken. */
    NONE(Promise.PROGRESS, Fault.OPERATOR_RACE),
    /** The guard outlasts the lease by far. */
    LATE_GUARD(Promise.CAPACITY, Fault.PROCESS_FROZEN_BEFORE_WRITE) {
        @Override
        NodeSettings apply(NodeSettings plain) {
            LeaseTimings lease = plain.lease();
            LeaseTimings late = new LeaseTimings(
                    lease.timeToLive(),
                    lease.renewInterval(),
                    Duration.ofSeconds(-30),
                    lease.promiseDuration(),
                    lease.outageBound());
            return with(plain, late, plain.timings(), plain.minDrainDuration());
        }
    },
    /** Tasks count as lapsed before their leases end. */
    EARLY_LAPSE(Promise.EXCLUSIVE, Fault.WORKER_SILENT) {
        @Override
        NodeSettings apply(NodeSettings plain) {
            NodeTimings timings = plain.timings();
            NodeTimings early = new NodeTimings(
                    timings.maxTransitTime(),
                    Duration.ofSeconds(-9),
                    timings.taskLease(),
                    timings.startLease(),
                    timings.reportInterval(),
                    timings.queryInterval(),
                    timings.loadReportInterval(),
                    timings.routeRetryDelay());
            return with(plain, plain.lease(), early, plain.minDrainDuration());
        }
    },
    /** A shutdown ends without waiting for the balancer. */
    NO_LINGER(Promise.GRACEFUL, Fault.PROCESS_DRAINED) {
        @Override
        NodeSettings apply(NodeSettings plain) {
            return with(plain, plain.lease(), plain.timings(), Duration.ZERO);
        }
    },
    /** The store acknowledges journal writes that it does not keep. */
    FORGETFUL_JOURNAL(Promise.AT_MOST_ONCE, Fault.PROCESS_KILLED),
    /** The checkpoint of a stopped task is dropped on the way. */
    FORGOTTEN_CHECKPOINT(Promise.RESUME_ONCE, Fault.OPERATOR_RACE),
    /** Callers are told that work was not run when that is not known. */
    UNKNOWN_TOLD_AS_NOT_RUN(Promise.NOT_RUN, Fault.MESSAGE_LOST),
    /** Lost answers of workers are taken for calls that were not sent, which lets work run again. */
    SENT_AGAIN(Promise.AT_MOST_ONCE, Fault.MESSAGE_LOST),
    /** Answers of workers reach the wrong request. */
    CROSSED_ANSWERS(Promise.OWN_ANSWER, Fault.OPERATOR_RACE),
    /** The list of hosts is not read. */
    HIDDEN_HOST_LIST(Promise.LEAVING, Fault.HOST_LEAVING),
    /** One process never sees changes of followed keys. */
    HIDDEN_CHANGES(Promise.CONFIGURATION, Fault.OPERATOR_RACE),
    /** Workers' reports are never answered. */
    HIDDEN_REPORTS(Promise.PROGRESS, Fault.OPERATOR_RACE);

    private final Promise breaks;

    private final Fault under;

    Sabotage(Promise breaks, Fault under) {
        this.breaks = breaks;
        this.under = under;
    }

    /** Returns the fault under which it must be seen. */
    Fault under() {
        return under;
    }

    /** Returns the promise that must be seen to break. */
    Promise breaks() {
        return breaks;
    }

    /** Changes the settings of the cores. */
    NodeSettings apply(NodeSettings plain) {
        return plain;
    }

    boolean hidesLostAnswers() {
        return this == SENT_AGAIN;
    }

    static NodeSettings with(NodeSettings plain, LeaseTimings lease, NodeTimings timings, Duration drainLinger) {
        return new NodeSettings(
                plain.self(),
                lease,
                timings,
                plain.journal(),
                plain.oncePolicy(),
                plain.jobCommandTimeout(),
                plain.drainTimeout(),
                drainLinger,
                plain.seed());
    }
}
