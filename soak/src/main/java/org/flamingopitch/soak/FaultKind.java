package org.flamingopitch.soak;

import java.io.IOException;

/** The kinds of fault that the soak injects. Each applies to a host and a worker that the schedule draws. */
enum FaultKind {
    /** SIGTERM, after the grace period SIGKILL, then a restart. */
    HOST_TERMINATED((site, fault) -> site.host(fault.host()).signal("TERM"), (site, fault) -> {
        site.host(fault.host()).kill();
        site.host(fault.host()).start();
    }) {
        @Override
        long minMillis() {
            return GRACE_MILLIS;
        }
    },
    HOST_KILLED(
            (site, fault) -> site.host(fault.host()).kill(),
            (site, fault) -> site.host(fault.host()).start()),
    HOST_SUSPENDED(
            (site, fault) -> site.host(fault.host()).signal("STOP"),
            (site, fault) -> site.host(fault.host()).signal("CONT")),
    HOST_HUP((site, fault) -> site.host(fault.host()).signal("HUP"), (site, fault) -> {}),
    STORE_LINK_DELAYED(LinkFault.DELAY, true),
    STORE_LINK_RESET(LinkFault.RESET, true),
    STORE_REQUESTS_CUT(LinkFault.CUT_REQUESTS, true),
    STORE_ANSWERS_CUT(LinkFault.CUT_ANSWERS, true),
    STORE_LINK_SILENT(LinkFault.SILENCE, true),
    STORE_REFUSES_HOST(
            (site, fault) -> site.store().refuse(fault.host(), true),
            (site, fault) -> site.store().refuse(fault.host(), false)),
    STORE_DOWN_LEASES_PAUSE(
            (site, fault) -> {
                site.store().pauseLeases(true);
                refuseAll(site, true);
            },
            (site, fault) -> {
                refuseAll(site, false);
                site.store().pauseLeases(false);
            }),
    /** The entries of the workers expire too. */
    STORE_DOWN_LEASES_LAPSE((site, fault) -> refuseAll(site, true), (site, fault) -> {
        site.store().expireWorkers();
        refuseAll(site, false);
    }),
    STORE_SILENT(
            (site, fault) -> applyToAll(site, LinkFault.SILENCE), (site, fault) -> applyToAll(site, LinkFault.NONE)),
    STORE_LOSES_ANSWERS(
            (site, fault) -> site.store().loseAnswers(true),
            (site, fault) -> site.store().loseAnswers(false)),
    STORE_FORGETS_HISTORY((site, fault) -> site.store().compact(), (site, fault) -> {}),
    WORKER_LINK_DELAYED(LinkFault.DELAY, false),
    WORKER_LINK_RESET(LinkFault.RESET, false),
    WORKER_REQUESTS_CUT(LinkFault.CUT_REQUESTS, false),
    WORKER_ANSWERS_CUT(LinkFault.CUT_ANSWERS, false),
    WORKER_LINK_SILENT(LinkFault.SILENCE, false),
    /** The worker starts anew under its id and remembers nothing. */
    WORKER_REBORN(
            (site, fault) -> site.worker(fault.worker()).crash(),
            (site, fault) -> site.worker(fault.worker()).begin()),
    /** The worker is lost for good; another one with another id takes its place. */
    WORKER_LOST((site, fault) -> site.replaceWorker(fault.worker()), (site, fault) -> {});

    /** How long a process may take to end after SIGTERM, by the rules (graceS). */
    private static final long GRACE_MILLIS = 6_000;

    private static final long MIN_MILLIS = 300;

    private final Action beginning;

    private final Action ending;

    FaultKind(Action beginning, Action ending) {
        this.beginning = beginning;
        this.ending = ending;
    }

    FaultKind(LinkFault linkFault, boolean atStore) {
        this(
                (site, fault) -> link(site, fault, atStore).apply(linkFault),
                (site, fault) -> link(site, fault, atStore).apply(LinkFault.NONE));
    }

    private static LoopbackProxy link(Deployment site, Fault fault, boolean atStore) {
        return atStore
                ? site.storeLink(fault.host())
                : site.worker(fault.worker()).link();
    }

    private static void refuseAll(Deployment site, boolean value) {
        for (int host = 0; host < Deployment.HOSTS; host++) {
            site.store().refuse(host, value);
        }
    }

    private static void applyToAll(Deployment site, LinkFault linkFault) {
        for (int host = 0; host < Deployment.HOSTS; host++) {
            site.storeLink(host).apply(linkFault);
        }
    }

    void begin(Deployment site, Fault fault) throws IOException, InterruptedException {
        beginning.run(site, fault);
    }

    void end(Deployment site, Fault fault) throws IOException, InterruptedException {
        ending.run(site, fault);
    }

    long minMillis() {
        return MIN_MILLIS;
    }

    private interface Action {

        void run(Deployment site, Fault fault) throws IOException, InterruptedException;
    }
}
