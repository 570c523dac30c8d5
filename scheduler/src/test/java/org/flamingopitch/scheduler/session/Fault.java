package org.flamingopitch.scheduler.session;

import java.time.Duration;

/** The faults that strike at a step. */
enum Fault {
    /** The entry host's process ends; its port refuses connections; another replaces it a second later. */
    PROCESS_KILLED {
        @Override
        Fate strike(Session session, Step step) {
            session.kill(step.process(), true);
            return Fate.NORMAL;
        }
    },
    /** The entry host is gone without a trace; another replaces it a second later. */
    HOST_LOST {
        @Override
        Fate strike(Session session, Step step) {
            session.kill(step.process(), false);
            return Fate.NORMAL;
        }
    },
    /** The process stands still for longer than its lease. */
    PROCESS_FROZEN {
        @Override
        Fate strike(Session session, Step step) {
            session.freeze(step.process(), Duration.ofSeconds(5), false);
            return Fate.NORMAL;
        }
    },
    /** The process stands still after a decision and before it writes. */
    PROCESS_FROZEN_BEFORE_WRITE {
        @Override
        Fate strike(Session session, Step step) {
            session.freeze(step.process(), Duration.ofSeconds(5), true);
            return Fate.NORMAL;
        }
    },
    /** The delivery is lost with its connection. */
    MESSAGE_LOST {
        @Override
        Fate strike(Session session, Step step) {
            return Fate.LOST;
        }
    },
    /** The delivery is late, within the bound on transit for workers, far beyond it otherwise. */
    MESSAGE_DELAYED {
        @Override
        Fate strike(Session session, Step step) {
            boolean bounded = step.type() == StepType.WORKER_CALL;
            return Fate.delayed(bounded ? Duration.ofMillis(250) : Duration.ofMillis(2_500));
        }
    },
    /** The delivery arrives twice; an HTTP request is written once to one connection and cannot. */
    MESSAGE_DUPLICATED {
        @Override
        Fate strike(Session session, Step step) {
            boolean writtenOnce = step.type() == StepType.WORKER_CALL || step.type() == StepType.CALLER_REQUEST;
            return writtenOnce ? Fate.NORMAL : Fate.TWICE;
        }
    },
    /** Later deliveries overtake this one. */
    MESSAGE_CROSSED {
        @Override
        Fate strike(Session session, Step step) {
            return Fate.delayed(Duration.ofMillis(60));
        }
    },
    /** The key-value service refuses all calls for a while; leases lapse meanwhile. */
    STORE_DOWN {
        @Override
        Fate strike(Session session, Step step) {
            session.store().storeDown(Duration.ofSeconds(6));
            return Fate.NORMAL;
        }
    },
    /** The key-value service answers too late for a while. */
    STORE_SLOW {
        @Override
        Fate strike(Session session, Step step) {
            session.store().storeSlow(Duration.ofSeconds(6), Duration.ofMillis(900));
            return Fate.NORMAL;
        }
    },
    /** The key-value service's next answers to this process are lost after the writes took effect. */
    STORE_ANSWER_LOST {
        @Override
        Fate strike(Session session, Step step) {
            session.store().loseStoreAnswers(step.process(), Duration.ofMillis(300));
            return Fate.NORMAL;
        }
    },
    /** The process stands still until just after its lease has lapsed. */
    LEASE_LAPSED {
        @Override
        Fate strike(Session session, Step step) {
            session.freeze(step.process(), Duration.ofMillis(2_600), false);
            return Fate.NORMAL;
        }
    },
    /** A worker ends with all its tasks; its port refuses connections. */
    WORKER_DEAD {
        @Override
        Fate strike(Session session, Step step) {
            session.workerCalls().killWorker(step.worker());
            return Fate.NORMAL;
        }
    },
    /** A worker is cut off for longer than its tasks' leases and comes back. */
    WORKER_SILENT {
        @Override
        Fate strike(Session session, Step step) {
            session.workerCalls().silenceWorker(step.worker(), Duration.ofSeconds(13));
            return Fate.NORMAL;
        }
    },
    /** Nothing crosses from the far region to the home region for a while. */
    LINK_CUT_ONE_WAY {
        @Override
        Fate strike(Session session, Step step) {
            session.cutLink(Duration.ofSeconds(5), false);
            return Fate.NORMAL;
        }
    },
    /** Nothing crosses between the regions for a while. */
    LINK_CUT_BOTH_WAYS {
        @Override
        Fate strike(Session session, Step step) {
            session.cutLink(Duration.ofSeconds(5), true);
            return Fate.NORMAL;
        }
    },
    /** Two operators propose configurations at once. */
    OPERATOR_RACE {
        @Override
        Fate strike(Session session, Step step) {
            session.callers().raceOperators();
            return Fate.NORMAL;
        }
    },
    /** The platform's list shows a worker as leaving. */
    HOST_LEAVING {
        @Override
        Fate strike(Session session, Step step) {
            session.leave(step.worker());
            return Fate.NORMAL;
        }
    },
    /** The entry host is told to shut down gracefully. */
    PROCESS_DRAINED {
        @Override
        Fate strike(Session session, Step step) {
            session.drain(step.process());
            return Fate.NORMAL;
        }
    };

    abstract Fate strike(Session session, Step step);
}
