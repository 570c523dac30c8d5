package org.flamingopitch.scheduler.session;

import java.time.Duration;

/** The faults that can be injected at a step. */
enum Fault {
    /** The entry host's process ends; its port refuses connections; another replaces it a second later. */
    PROCESS_KILLED {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            session.kill(step.process(), true);
            return DeliveryEffect.NORMAL;
        }
    },
    /** The entry host is lost; connections to it are not even refused; another replaces it a second later. */
    HOST_LOST {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            session.kill(step.process(), false);
            return DeliveryEffect.NORMAL;
        }
    },
    /** The process is suspended for longer than its lease lasts. */
    PROCESS_FROZEN {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            session.freeze(step.process(), Duration.ofSeconds(5), false);
            return DeliveryEffect.NORMAL;
        }
    },
    /** The process is suspended after it decided and before the decision's effects, such as writes, are carried out. */
    PROCESS_FROZEN_BEFORE_WRITE {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            session.freeze(step.process(), Duration.ofSeconds(5), true);
            return DeliveryEffect.NORMAL;
        }
    },
    /** The delivery is lost because its connection breaks. */
    MESSAGE_LOST {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            return DeliveryEffect.LOST;
        }
    },
    /** The delivery is late: calls to workers within the limit on transit time, all others far beyond it. */
    MESSAGE_DELAYED {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            boolean bounded = step.type() == StepType.WORKER_CALL;
            return DeliveryEffect.delayed(bounded ? Duration.ofMillis(250) : Duration.ofMillis(2_500));
        }
    },
    /** The delivery arrives twice, except for HTTP requests, which are written once to one connection. */
    MESSAGE_DUPLICATED {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            boolean deliveredOnce = step.type() == StepType.WORKER_CALL || step.type() == StepType.CALLER_REQUEST;
            return deliveredOnce ? DeliveryEffect.NORMAL : DeliveryEffect.DUPLICATED;
        }
    },
    /** Later deliveries overtake this one. */
    MESSAGE_CROSSED {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            return DeliveryEffect.delayed(Duration.ofMillis(60));
        }
    },
    /** The key-value service refuses all calls for 6 s, longer than leases last. */
    STORE_DOWN {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            session.storeLink().stopStore(Duration.ofSeconds(6));
            return DeliveryEffect.NORMAL;
        }
    },
    /** The key-value service answers later than the calls' timeout for 6 s. */
    STORE_SLOW {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            session.storeLink().slowStore(Duration.ofSeconds(6), Duration.ofMillis(900));
            return DeliveryEffect.NORMAL;
        }
    },
    /** Answers of the key-value service to this process are lost for 300 ms, although the calls took effect. */
    STORE_ANSWER_LOST {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            session.storeLink().loseStoreAnswers(step.process(), Duration.ofMillis(300));
            return DeliveryEffect.NORMAL;
        }
    },
    /** The process is suspended until just after its lease has expired. */
    LEASE_LAPSED {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            session.freeze(step.process(), Duration.ofMillis(2_600), false);
            return DeliveryEffect.NORMAL;
        }
    },
    /** A worker ends with all its tasks; its port refuses connections. */
    WORKER_DEAD {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            session.workerLink().killWorker(step.worker());
            return DeliveryEffect.NORMAL;
        }
    },
    /** A worker is unreachable for longer than its tasks' leases last and then reachable again. */
    WORKER_SILENT {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            session.workerLink().disconnectWorker(step.worker(), Duration.ofSeconds(13));
            return DeliveryEffect.NORMAL;
        }
    },
    /** Nothing gets from the far region to the home region for 5 s. */
    LINK_CUT_ONE_WAY {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            session.cutLink(Duration.ofSeconds(5), false);
            return DeliveryEffect.NORMAL;
        }
    },
    /** Nothing gets from one region to the other for 5 s. */
    LINK_CUT_BOTH_WAYS {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            session.cutLink(Duration.ofSeconds(5), true);
            return DeliveryEffect.NORMAL;
        }
    },
    /** Two operators propose a configuration at the same time, based on the same version. */
    OPERATOR_RACE {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            session.callers().raceOperators();
            return DeliveryEffect.NORMAL;
        }
    },
    /** The platform's list shows a worker as leaving. */
    HOST_LEAVING {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            session.markLeaving(step.worker());
            return DeliveryEffect.NORMAL;
        }
    },
    /** The entry host is asked to shut down gracefully. */
    PROCESS_DRAINED {
        @Override
        DeliveryEffect inject(Session session, Step step) {
            session.drain(step.process());
            return DeliveryEffect.NORMAL;
        }
    };

    /** Injects the fault and returns its effect on the delivery at the step. */
    abstract DeliveryEffect inject(Session session, Step step);
}
