package org.flamingopitch.scheduler.session;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.scheduler.node.NodeEffect;
import org.flamingopitch.scheduler.node.SchedulerNode;

/** A simulated entry host: a core, its connections to peers, and what is deferred while it is suspended. */
final class SimProcess {

    private final Member member;

    private final SchedulerNode node;

    private final Instant startedAt;

    private final Set<ProcessId> connected = new HashSet<>();

    private final List<Runnable> deferredEvents = new ArrayList<>();

    private final List<NodeEffect> deferredEffects = new ArrayList<>();

    private boolean alive = true;

    private boolean refusesConnections;

    private boolean defersEffects;

    private boolean drainRequested;

    private Instant frozenUntil = Instant.EPOCH;

    SimProcess(Member member, SchedulerNode node, Instant startedAt) {
        this.startedAt = startedAt;
        this.member = member;
        this.node = node;
    }

    ProcessId id() {
        return member.id();
    }

    Member member() {
        return member;
    }

    Instant startedAt() {
        return startedAt;
    }

    SchedulerNode node() {
        return node;
    }

    Set<ProcessId> connected() {
        return connected;
    }

    List<Runnable> deferredEvents() {
        return deferredEvents;
    }

    List<NodeEffect> deferredEffects() {
        return deferredEffects;
    }

    boolean alive() {
        return alive;
    }

    void end(boolean portRefuses) {
        alive = false;
        refusesConnections = portRefuses;
    }

    boolean refusesConnections() {
        return refusesConnections;
    }

    boolean frozen(Instant now) {
        return now.isBefore(frozenUntil);
    }

    Instant frozenUntil() {
        return frozenUntil;
    }

    void freeze(Instant until, boolean deferEffects) {
        frozenUntil = until;
        defersEffects = deferEffects;
    }

    boolean defersEffects(Instant now) {
        return defersEffects && frozen(now);
    }

    boolean drainRequested() {
        return drainRequested;
    }

    void requestDrain() {
        drainRequested = true;
    }
}
